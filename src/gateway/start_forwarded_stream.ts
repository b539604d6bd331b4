/**
 * Passes a call whose answer is a stream on to a peer.
 *
 * @module
 */

import type { Exchange } from "./create_upstream_transport.ts";
import type { UpstreamHead } from "./protocol.ts";
import { createEventSplitter, type StreamEvent } from "./split_events.ts";
import {
  type ForwardedEnd,
  startForwardedExchange,
  type StartForwardedExchangeOptions,
} from "./start_forwarded_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link startForwardedStream}. */
export interface StartForwardedStreamOptions extends
  Pick<
    StartForwardedExchangeOptions,
    "peer" | "lastEventId" | "mayLeave" | "getSilenceMs" | "onHead"
  > {
  readonly onEvent: (event: StreamEvent) => void;
  readonly onEnd: (end: ForwardedStreamEnd) => void;
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
 * @returns The exchange in progress.
 * @throws Nothing.
 * @example
 * const exchange = startForwardedStream(call, context, options);
 */
export function startForwardedStream(
  call: Call,
  context: ServingContext,
  options: StartForwardedStreamOptions,
): Exchange {
  const splitter = createEventSplitter();
  return startForwardedExchange(call, context, {
    ...options,
    onData: (chunk) => splitter.push(chunk).forEach(options.onEvent),
    onEnd: (end) =>
      options.onEnd({ ...end, isCut: splitter.hasPartialEvent() }),
  });
}
