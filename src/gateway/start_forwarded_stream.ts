/**
 * Passes a call whose answer is a stream on to a peer.
 *
 * @module
 */

import type { Exchange } from "./create_upstream_transport.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import { createEventReader } from "./create_event_reader.ts";
import type { StreamEvent } from "./split_events.ts";
import {
  type ForwardedEnd,
  startForwardedExchange,
  type StartForwardedExchangeOptions,
} from "./start_forwarded_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** A run of a streaming call at another gateway. */
export interface ForwardedRun extends Exchange {
  /** The gateway that runs it. */
  readonly vm: string;
  /** Empty: its engines are known to that gateway only. */
  readonly path: readonly AddressedPart[];
  leave(vm: string, reason: string): void;
}

/** Options of {@link startForwardedStream}. */
export interface StartForwardedStreamOptions extends
  Pick<
    StartForwardedExchangeOptions,
    "peer" | "lastEventId" | "getSilenceMs" | "onHead"
  > {
  readonly onEvent: (run: ForwardedRun, event: StreamEvent) => void;
  /** Called again and again while the peer is in doubt; the run goes on. */
  readonly onDoubt: (run: ForwardedRun, reason: string) => void;
  readonly onEnd: (run: ForwardedRun, end: ForwardedStreamEnd) => void;
}

/** How a forwarded stream ended. */
export interface ForwardedStreamEnd extends ForwardedEnd {
  /** Whether the stream ended in the middle of an event. */
  readonly isCut: boolean;
}

/**
 * Checks whether an answer is an upstream's stream of events.
 *
 * @param head - The head of the answer; undefined if there is none.
 * @returns Whether it is a stream.
 * @throws Nothing.
 * @example
 * if (isStream(head)) relay.forward(event);
 */
export function isStream(head: UpstreamHead | undefined): boolean {
  return head?.status === 200 && head.isSigned;
}

/**
 * Passes a stream on, and splits the answer into its events.
 *
 * @param call - The call.
 * @param context - The peers and the connections to them.
 * @param options - The peer, and callbacks for the answer.
 * @returns The run in progress.
 * @throws Nothing.
 * @example
 * const run = startForwardedStream(call, context, options);
 */
export function startForwardedStream(
  call: Call,
  context: ServingContext,
  options: StartForwardedStreamOptions,
): ForwardedRun {
  const reader = createEventReader({
    onEvent: (event) => options.onEvent(run, event),
    noteProgress: (usefulBytes) => exchange.noteProgress(usefulBytes),
  });
  const exchange = startForwardedExchange(call, context, {
    ...options,
    onData: reader.push,
    onDoubt: (reason) => options.onDoubt(run, reason),
    onEnd: (end) =>
      options.onEnd(run, { ...end, isCut: reader.hasPartialEvent() }),
  });
  const { abort, pause, resume, noteProgress } = exchange;
  const run: ForwardedRun = {
    vm: options.peer.vm,
    path: [],
    get isSent() {
      return exchange.isSent;
    },
    leave: (_vm, reason) => abort(reason),
    abort,
    pause,
    resume,
    noteProgress,
  };
  return run;
}
