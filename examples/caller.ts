/**
 * A caller that does as docs/CALLERS.md says: it keeps the entries' answer for
 * its time to live, connects there itself, and repeats only what is safe.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

interface EntriesAnswer {
  readonly entries: readonly { readonly address: string }[];
  readonly ttlMs: number;
}

/** Options of {@link createCaller}. */
export interface CreateCallerOptions {
  /** Addresses to begin with; any live entry will do. */
  readonly addresses: readonly string[];
  readonly key: string;
  readonly service: string;
}

/** Tries of one request. */
const MAX_TRIES = 4;

/** Makes a caller of one service. */
export function createCaller(options: CreateCallerOptions) {
  const { key, service } = options;
  const headers = { authorization: `Bearer ${key}` };
  let known = [...options.addresses];
  let freshUntilMs = 0;

  async function listAddresses(): Promise<readonly string[]> {
    if (Date.now() < freshUntilMs) return known;
    for (const address of known) {
      const url = `${address}/v1/entries?service=${service}`;
      const response = await fetch(url, { headers }).catch(() => undefined);
      if (!response?.ok) continue;
      const answer = await response.json() as EntriesAnswer;
      if (answer.entries.length === 0) continue;
      known = answer.entries.map((entry) => entry.address);
      freshUntilMs = Date.now() + answer.ttlMs;
      break;
    }
    return known;
  }

  /**
   * Sends a request. With an idempotency key it may be sent to any entry as
   * often as need be: it runs at most once.
   */
  async function send(
    path: string,
    request: { body: string; idempotencyKey: string },
  ): Promise<Response> {
    for (let tries = 0;; tries++) {
      const addresses = await listAddresses();
      const address = addresses[tries % addresses.length];
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
      if (response && (isFinal || tries + 1 >= MAX_TRIES)) return response;
      if (tries + 1 >= MAX_TRIES) throw new Error("No entry answered");
      // The refusal says when to come back; a cut connection says nothing.
      const waitS = Number(response?.headers.get("retry-after") ?? 1);
      await sleep(waitS * 1_000);
    }
  }

  return { send };
}
