/**
 * Completes a call exactly once: with an answer, a rejection or a disconnect.
 *
 * @module
 */

import { sendRefusal } from "./send_refusal.ts";
import type { Refusal, UpstreamHead } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link createCallEnd}. */
export interface CreateCallEndOptions {
  readonly call: Call;
  readonly context: ServingContext;
  /** Returns additional log fields of the call. */
  readonly describe: () => Readonly<Record<string, unknown>>;
  /** Whether an upstream may have received the request. */
  readonly wasSent: () => boolean;
  /** Called once when the call ends, for whatever reason. */
  readonly onEnd: (outcome: string) => void;
  /** Called when the deadline of the call has passed. */
  readonly onDeadline: () => void;
}

/** Completion of one call. */
export interface CallEnd {
  hasEnded(): boolean;
  /** Ends the call; later calls have no effect. */
  end(outcome: string): void;
  /** Answers with a rejection or a failure of the gateway itself, and ends the call. */
  refuse(refusal: Refusal): void;
  /** Forwards an upstream's complete answer, and ends the call. */
  forwardAnswer(head: UpstreamHead, body: Uint8Array): void;
}

/**
 * Creates the completion of a call. The call also ends when the caller
 * disconnects; `onDeadline` decides what happens at its deadline.
 *
 * @param options - The call, and callbacks for its end and deadline.
 * @returns The completion.
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
      // The gateway that passed the call on charges its next attempt for this.
      const wasSent = request.forwardedBy !== undefined && options.wasSent();
      sendRefusal(response, { codec, request, refusal, wasSent, closes });
      end(refusal.reason);
    },
    forwardAnswer(head, body) {
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
