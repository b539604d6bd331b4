/**
 * The one end that each call comes to.
 *
 * @module
 */

import { answerRefusal } from "./answer_refusal.ts";
import type { Refusal, UpstreamHead } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** What an end needs to know. */
export interface CreateCallEndOptions {
  readonly call: Call;
  readonly context: ServingContext;
  /** What is logged of the call besides the usual. */
  readonly describe: () => Readonly<Record<string, unknown>>;
  /** Called once the call has ended, whatever ended it. */
  readonly onEnd: (outcome: string) => void;
  /** Called when the call's time is over. */
  readonly onDeadline: () => void;
}

/** The one end that a call comes to. */
export interface CallEnd {
  hasEnded(): boolean;
  /** Ends it; only the first end counts. */
  end(outcome: string): void;
  /** Answers with a refusal or a failure of the gateway's own, and ends. */
  refuse(refusal: Refusal): void;
  /** Passes an upstream's whole answer on, and ends. */
  passOn(head: UpstreamHead, body: Uint8Array): void;
}

/**
 * Makes the end of a call; it comes also when the caller leaves and when the
 * call's time is over.
 *
 * @param options - The call, and who hears of its end.
 * @returns The end.
 * @throws Nothing.
 * @example
 * callEnd.refuse({ status: 502, reason: "answer_broken" });
 */
export function createCallEnd(options: CreateCallEndOptions): CallEnd {
  const { call, context } = options;
  const { request, response, service } = call;
  const { now, log, metrics, codec } = context;
  let ended = false;
  const timer = setTimeout(
    options.onDeadline,
    Math.max(0, call.deadlineMs - now()),
  );
  response.on("close", () => end("caller left"));

  function end(outcome: string): void {
    if (ended) return;
    ended = true;
    clearTimeout(timer);
    options.onEnd(outcome);
    const tookMs = Math.round(now() - call.startedMs);
    metrics.timing("requests.duration_ms", tookMs);
    log(outcome === "answered" ? "callEnded" : "callEndedBadly", {
      requestId: request.requestId,
      requestKey: call.requestKey,
      outcome,
      status: response.headersSent ? response.statusCode : 0,
      ...options.describe(),
      tookMs,
      service,
    });
  }

  return {
    hasEnded: () => ended,
    end,
    refuse(refusal) {
      if (ended) return;
      metrics.countRefusal(refusal.reason);
      const closes = context.isLeaving();
      answerRefusal(response, { codec, request, refusal, closes });
      end(refusal.reason);
    },
    passOn(head, body) {
      if (ended) return;
      response.writeHead(head.status, [
        ...head.headers,
        "content-length",
        String(body.length),
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.end(body);
      end("answered");
    },
  };
}
