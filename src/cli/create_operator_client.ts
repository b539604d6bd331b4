/**
 * The operator client: finds the leader and retries calls.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import ModernError from "modern-errors";
import { request } from "undici";
import { readLimitedBody } from "../http/index.ts";

/** Base class of all errors of the command line. */
export const CliError = ModernError.subclass("CliError");

/** Control answered with a problem document, or not at all. */
export const OperatorRequestError = CliError.subclass("OperatorRequestError", {
  props: {
    status: 0,
    reason: "",
    problem: {} as Readonly<Record<string, unknown>>,
  },
});

/** A line of a watch is longer than a line may be. */
export const OperatorLineError = CliError.subclass("OperatorLineError");

/** A call of the resource API. */
export interface OperatorCall {
  readonly method?: "GET" | "PUT" | "DELETE" | "POST";
  readonly path: string;
  readonly body?: unknown;
  /** Identifies the change; by default a new id. */
  readonly changeId?: string;
}

/** The operator client. */
export interface OperatorClient {
  /** Makes a call and resolves with the document of the answer. */
  call<Answer>(call: OperatorCall): Promise<Answer>;
  /** Yields the lines of a watch until the connection ends. */
  watch(options: WatchOptions): AsyncGenerator<WatchLine>;
}

/** Filter and start of a watch. */
export interface WatchOptions {
  readonly kind?: string;
  readonly since?: number;
  readonly signal?: AbortSignal;
}

/** A line of a watch. */
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
  /** Time limit for a call, with all attempts, in ms. */
  readonly timeoutMs?: number;
}

/** Default time limit for a call, with all attempts, in ms. */
const DEFAULT_TIMEOUT_MS = 15_000;

/** Time limit for an attempt at one control process, in ms. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Largest answer of a control process, in bytes. */
const MAX_ANSWER_BYTES = 67_108_864;

/** Longest line of a watch, in characters. */
const MAX_LINE_LENGTH = 4_194_304;

/** Delay between two attempts, in ms. */
const RETRY_DELAY_MS = 50;

/** Reasons of problem documents after which a call is retried. */
const RETRY_REASONS = new Set(["not_leader", "undecided"]);

interface Answer {
  readonly status: number;
  readonly document: Record<string, unknown>;
}

/**
 * Creates an operator client.
 *
 * All attempts of a change carry the same change id, so it is applied only once.
 *
 * @param options - Addresses of the control processes, and the operator's token.
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
  let currentIndex = 0;

  async function call<Result>(operatorCall: OperatorCall): Promise<Result> {
    const changeId = operatorCall.changeId ?? randomUUID();
    const deadlineMs = Date.now() + timeoutMs;
    let lastAnswer: Answer | undefined;
    while (Date.now() < deadlineMs) {
      const answer = await attemptCall(addresses[currentIndex], {
        ...operatorCall,
        changeId,
      });
      if (answer && isFinal(answer)) return unwrapAnswer<Result>(answer);
      lastAnswer = answer ?? lastAnswer;
      currentIndex = chooseNextIndex(answer);
      await sleep(RETRY_DELAY_MS);
    }
    return unwrapAnswer<Result>(lastAnswer ?? NO_ANSWER);
  }

  function chooseNextIndex(answer: Answer | undefined): number {
    const leader = String(answer?.document.leaderAddress ?? "");
    const leaderIndex = leader === ""
      ? -1
      : addresses.indexOf(withScheme(leader));
    return leaderIndex >= 0
      ? leaderIndex
      : (currentIndex + 1) % addresses.length;
  }

  async function attemptCall(
    address: string,
    callToSend: OperatorCall,
  ): Promise<Answer | undefined> {
    const { method = "GET", path, body, changeId = "" } = callToSend;
    try {
      const response = await request(`${address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          "change-id": changeId,
          ...(body === undefined ? {} : { "content-type": "application/json" }),
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      const maxBytes = MAX_ANSWER_BYTES;
      const bytes = await readLimitedBody(response.body, { maxBytes });
      const document = JSON.parse(bytes.toString("utf8"));
      return { status: response.statusCode, document };
    } catch {
      return undefined;
    }
  }

  async function* watch(filter: WatchOptions): AsyncGenerator<WatchLine> {
    const query = new URLSearchParams();
    if (filter.kind !== undefined) query.set("kind", filter.kind);
    if (filter.since !== undefined) query.set("since", String(filter.since));
    await call({ path: "/v1/status" });
    const response = await request(
      `${addresses[currentIndex]}/v1/watch?${query}`,
      {
        headers: { authorization: `Bearer ${token}` },
        signal: filter.signal,
        bodyTimeout: 0,
      },
    );
    let partialLine = "";
    for await (const chunk of response.body) {
      const lines = (partialLine + String(chunk)).split("\n");
      partialLine = lines.pop() ?? "";
      if (partialLine.length > MAX_LINE_LENGTH) {
        throw new OperatorLineError(
          `A line of the watch has more than ${MAX_LINE_LENGTH} characters`,
        );
      }
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

function unwrapAnswer<Result>(answer: Answer): Result {
  const { status, document } = answer;
  if (status >= 200 && status < 300) return document as Result;
  const reason = String(document.reason ?? "");
  throw new OperatorRequestError(String(document.title ?? reason), {
    props: { status, reason, problem: document },
  });
}
