/**
 * One run of a stream's request: the path it is sent over, the answer, and the outcome.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createEventReader } from "./create_event_reader.ts";
import { createHeldAnswer } from "./create_held_answer.ts";
import type { ExchangeEnd } from "./create_upstream_transport.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import type { StreamEvent } from "./split_events.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { startCallExchange } from "./start_call_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** One run of a streaming call over a path of engines. */
export interface StreamRun {
  readonly path: readonly AddressedPart[];
  readonly sentMs: number;
  /** Whether bytes of the request may have reached the first engine. */
  readonly isSent: boolean;
  /** Engine of the path that was found to have failed. */
  readonly failedEngineId: string | undefined;
  /** Whether this gateway aborted the run. */
  readonly wasAborted: boolean;
  readonly head: UpstreamHead | undefined;
  /** Whether the answer is a stream that may be forwarded to the caller. */
  readonly isStream: boolean;
  /** Whether an event has arrived. */
  readonly hasBegun: boolean;
  /** Time, in ms, at which the first event arrived. */
  readonly firstEventMs: number | undefined;
  /** Records that the run continues over another path that has the same first part. */
  switchPath(path: readonly AddressedPart[]): void;
  /** Aborts the run because an engine of its path has failed. */
  leave(engineId: string, reason: string): void;
  abort(reason: string): void;
  pause(): void;
  resume(): void;
}

/** How a run ended. */
export interface StreamRunEnd {
  readonly how: ExchangeEnd;
  /** Whether the stream ended before its first event, or in the middle of one. */
  readonly isCut: boolean;
  /** Body received of an answer that is not a stream. */
  readonly body: Buffer;
}

/** Options of {@link startStreamRun}: what is sent, and callbacks for the answer. */
export interface StartStreamRunOptions {
  readonly path: readonly AddressedPart[];
  /** Whether the path is sent to the engines. */
  readonly isLayered: boolean;
  /** Rate-limit grant to send to the first engine. */
  readonly grant: SendGrant;
  /** Tokens that the call will occupy on each engine. */
  readonly tokens: number;
  /** Id of the event after which the answer resumes. */
  readonly lastEventId: string | undefined;
  readonly onHead: (run: StreamRun) => void;
  readonly onEvent: (run: StreamRun, event: StreamEvent) => void;
  readonly onEnd: (run: StreamRun, end: StreamRunEnd) => void;
}

/**
 * Sends a call over a path. The call counts towards the load of the path's engines
 * until the run ends.
 *
 * @param call - The call.
 * @param context - The engines and the connections.
 * @param options - The path, and callbacks for the answer.
 * @returns The run in progress.
 * @throws Nothing.
 * @example
 * const run = startStreamRun(call, context, options);
 */
export function startStreamRun(
  call: Call,
  context: ServingContext,
  options: StartStreamRunOptions,
): StreamRun {
  const { engines, now } = context;
  const { tokens } = options;
  let { path } = options;
  let head: UpstreamHead | undefined;
  let failedEngineId: string | undefined;
  let wasAborted = false;
  let firstEventMs: number | undefined;
  const isStream = () => head?.status === 200 && head.isSigned;
  const reader = createEventReader({
    onEvent: handleEvent,
    noteProgress: (usefulBytes) => exchange.noteProgress(usefulBytes),
  });
  const answer = createHeldAnswer(context.heldBytes, {
    upstreamId: path[0].engineId,
    pause: () => exchange.pause(),
    resume: () => exchange.resume(),
  });
  engines.addWork(path, { tokens });
  const endPromptWork = engines.beginPrefill(path);

  function handleData(chunk: Buffer): void {
    if (isStream()) reader.push(chunk);
    else answer.push(chunk);
  }

  function handleEvent(event: StreamEvent): void {
    if (!event.isIgnored) {
      firstEventMs ??= now();
      endPromptWork();
    }
    options.onEvent(run, event);
  }

  // The close of a connection also ends a stream that breaks off before its first event.
  // A run that resumes a stream may find that nothing is left of it.
  function endedBeforeFirstEvent(): boolean {
    return head?.endsWithConnection === true && firstEventMs === undefined &&
      options.lastEventId === undefined;
  }

  function handleEnd(how: ExchangeEnd): void {
    engines.removeWork(path, { tokens });
    endPromptWork();
    const body = answer.end();
    const isCut = reader.hasPartialEvent() || endedBeforeFirstEvent();
    options.onEnd(run, { how, isCut, body });
    answer.releaseWith(call.response);
  }

  function abort(reason: string): void {
    wasAborted = true;
    exchange.abort(reason);
  }

  const exchange = startCallExchange(call, context, {
    engine: path[0],
    path: options.isLayered ? path : [],
    grant: options.grant,
    lastEventId: options.lastEventId,
    onHead(receivedHead) {
      head = receivedHead;
      options.onHead(run);
    },
    isForwarded: ({ status, isSigned }) => status === 200 && isSigned,
    onData: handleData,
    onEnd: handleEnd,
  });

  const run: StreamRun = {
    get path() {
      return path;
    },
    sentMs: now(),
    get isSent() {
      return exchange.isSent;
    },
    get failedEngineId() {
      return failedEngineId;
    },
    get wasAborted() {
      return wasAborted;
    },
    get head() {
      return head;
    },
    get isStream() {
      return isStream();
    },
    get hasBegun() {
      return firstEventMs !== undefined;
    },
    get firstEventMs() {
      return firstEventMs;
    },
    switchPath(newPath) {
      engines.removeWork(path, { tokens });
      path = newPath;
      engines.addWork(path, { tokens });
    },
    leave(failedId, reason) {
      failedEngineId = failedId;
      abort(reason);
    },
    abort,
    pause: exchange.pause,
    resume: exchange.resume,
  };
  return run;
}
