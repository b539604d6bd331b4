/**
 * The operators' client: finds the leader, repeats what is safe to repeat.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import ModernError from "modern-errors";
import { request } from "undici";

/** Base of all errors of the command line. */
export const CliError = ModernError.subclass("CliError");

/** Control answered with a problem, or not at all. */
export const OperatorRequestError = CliError.subclass("OperatorRequestError", {
  props: {
    status: 0,
    reason: "",
    problem: {} as Readonly<Record<string, unknown>>,
  },
});

/** One call of the resource interface. */
export interface OperatorCall {
  readonly method?: "GET" | "PUT" | "DELETE" | "POST";
  readonly path: string;
  readonly body?: unknown;
  /** Names the change; a new one by default. */
  readonly changeId?: string;
}

/** The operators' client. */
export interface OperatorClient {
  /** Resolves with the answer's document. */
  call<Answer>(call: OperatorCall): Promise<Answer>;
  /** Lines of a watch, until it ends. */
  watch(options: WatchOptions): AsyncGenerator<WatchLine>;
}

/** From where to watch. */
export interface WatchOptions {
  readonly kind?: string;
  readonly since?: number;
  readonly signal?: AbortSignal;
}

/** One line of a watch. */
export interface WatchLine {
  readonly type: "change" | "bookmark" | "relist";
  readonly revision: number;
  readonly kind?: string;
  readonly name?: string;
  readonly resource?: unknown;
}

/** Options of {@link createOperatorClient}. */
export interface CreateOperatorClientOptions {
  /** Addresses of the control processes, `host:port` or with a scheme. */
  readonly addresses: readonly string[];
  readonly token: string;
  /** Time, in ms, until an answer must have come. */
  readonly timeoutMs?: number;
}

/** Time, in ms, until an answer must have come. */
const DEFAULT_TIMEOUT_MS = 15_000;

/** Time, in ms, for one control process. */
const TRY_TIMEOUT_MS = 1_000;

/** Ms between two rounds of asking. */
const ROUND_DELAY_MS = 50;

/** Reasons for which another control process, or a later moment, is asked. */
const RETRY_REASONS = new Set(["not_leader", "undecided"]);

interface Answer {
  readonly status: number;
  readonly document: Record<string, unknown>;
}

/**
 * Makes the operators' client.
 *
 * A change keeps its id over all tries, so it is made once however often it
 * is sent.
 *
 * @param options - The control processes and the operator's token.
 * @returns The client.
 * @throws Nothing.
 * @example
 * const client = createOperatorClient({ addresses, token });
 */
export function createOperatorClient(
  options: CreateOperatorClientOptions,
): OperatorClient {
  const { token, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const addresses = options.addresses.map(withScheme);
  let preferred = 0;

  async function call<Result>(operatorCall: OperatorCall): Promise<Result> {
    const changeId = operatorCall.changeId ?? randomUUID();
    const untilMs = Date.now() + timeoutMs;
    let last: Answer | undefined;
    while (Date.now() < untilMs) {
      const answer = await tryOne(addresses[preferred], {
        ...operatorCall,
        changeId,
      });
      if (answer && isFinal(answer)) return settle<Result>(answer);
      last = answer ?? last;
      preferred = chooseNext(answer);
      await sleep(ROUND_DELAY_MS);
    }
    return settle<Result>(last ?? NO_ANSWER);
  }

  function chooseNext(answer: Answer | undefined): number {
    const leader = String(answer?.document.leaderAddress ?? "");
    const known = leader === "" ? -1 : addresses.indexOf(withScheme(leader));
    return known >= 0 ? known : (preferred + 1) % addresses.length;
  }

  async function tryOne(
    address: string,
    one: OperatorCall,
  ): Promise<Answer | undefined> {
    const { method = "GET", path, body, changeId = "" } = one;
    try {
      const response = await request(`${address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          "change-id": changeId,
          ...(body === undefined ? {} : { "content-type": "application/json" }),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(TRY_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const document = JSON.parse(text) as Record<string, unknown>;
      return { status: response.statusCode, document };
    } catch {
      return undefined;
    }
  }

  async function* watch(from: WatchOptions): AsyncGenerator<WatchLine> {
    const query = new URLSearchParams();
    if (from.kind !== undefined) query.set("kind", from.kind);
    if (from.since !== undefined) query.set("since", String(from.since));
    await call({ path: "/v1/status" });
    const response = await request(
      `${addresses[preferred]}/v1/watch?${query}`,
      {
        headers: { authorization: `Bearer ${token}` },
        signal: from.signal,
        bodyTimeout: 0,
      },
    );
    let rest = "";
    for await (const chunk of response.body) {
      const lines = (rest + String(chunk)).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) yield JSON.parse(line) as WatchLine;
    }
  }

  return { call, watch };
}

const NO_ANSWER: Answer = {
  status: 0,
  document: { reason: "no_answer", title: "No control process answered" },
};

function withScheme(address: string): string {
  return address.includes("://") ? address : `http://${address}`;
}

function isFinal(answer: Answer): boolean {
  return !RETRY_REASONS.has(String(answer.document.reason ?? ""));
}

function settle<Result>(answer: Answer): Result {
  const { status, document } = answer;
  if (status >= 200 && status < 300) return document as Result;
  const reason = String(document.reason ?? "");
  throw new OperatorRequestError(String(document.title ?? reason), {
    props: { status, reason, problem: document },
  });
}
