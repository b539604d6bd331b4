/**
 * A client that follows docs/CALLERS.md: it caches the list of entries for its time
 * to live, connects to the entries itself, and retries only where that is safe.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

interface EntriesResponse {
  readonly entries: readonly { readonly address: string }[];
  readonly ttlMs: number;
}

/** Options of {@link createCaller}. */
export interface CreateCallerOptions {
  /** Initial addresses; one live entry among them is enough. */
  readonly addresses: readonly string[];
  readonly key: string;
  readonly service: string;
}

/** Maximum number of attempts of a request. */
const MAX_ATTEMPTS = 4;

/** Creates a client of one service. */
export function createCaller(options: CreateCallerOptions) {
  const { key, service } = options;
  const headers = { authorization: `Bearer ${key}` };
  let entryAddresses = [...options.addresses];
  let expiresMs = 0;

  async function listAddresses(): Promise<readonly string[]> {
    if (Date.now() < expiresMs) return entryAddresses;
    for (const address of entryAddresses) {
      const url = `${address}/v1/entries?service=${service}`;
      const response = await fetch(url, { headers }).catch(() => undefined);
      if (!response?.ok) continue;
      const answer = await response.json() as EntriesResponse;
      if (answer.entries.length === 0) continue;
      entryAddresses = answer.entries.map((entry) => entry.address);
      expiresMs = Date.now() + answer.ttlMs;
      break;
    }
    return entryAddresses;
  }

  /**
   * Sends a request. Because of the idempotency key it may be retried on any entry:
   * it is executed at most once.
   */
  async function send(
    path: string,
    request: { body: string; idempotencyKey: string },
  ): Promise<Response> {
    for (let attempt = 0;; attempt++) {
      const addresses = await listAddresses();
      const address = addresses[attempt % addresses.length];
      const response = await fetch(`${address}${path}`, {
        method: "POST",
        headers: {
          ...headers,
          "content-type": "application/json",
          "crowlever-repeatable": "false",
          "idempotency-key": request.idempotencyKey,
        },
        body: request.body,
      }).catch(() => undefined);
      const outcome = response?.headers.get("crowlever-outcome");
      const isFinal = outcome === "done" || outcome === "failed";
      if (response && (isFinal || attempt + 1 >= MAX_ATTEMPTS)) return response;
      if (attempt + 1 >= MAX_ATTEMPTS) throw new Error("No entry responded");
      // A rejection has a Retry-After header; a broken connection has no response.
      const retryAfterS = Number(response?.headers.get("retry-after") ?? 1);
      await sleep(retryAfterS * 1_000);
    }
  }

  return { send };
}
