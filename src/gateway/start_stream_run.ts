/**
 * One send of a stream's request: its path, its answer, how it ends.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ExchangeEnd } from "./create_exchanger.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import { createEventSplitter, type StreamEvent } from "./split_events.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { startCallExchange } from "./start_call_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** One send of a call. */
export interface StreamRun {
  readonly path: readonly AddressedPart[];
  readonly sentMs: number;
  /** Engine of the path that was found to be lost. */
  readonly lostEngineId: string | undefined;
  /** Whether this gateway ended it by itself. */
  readonly wasLeft: boolean;
  readonly head: UpstreamHead | undefined;
  /** Whether its answer is a stream that may be passed on. */
  readonly isStream: boolean;
  /** Whether it has given an event. */
  readonly hasBegun: boolean;
  /** When its first event came, in ms. */
  readonly firstEventMs: number | undefined;
  /** Notes that it goes on over another path with the same first part. */
  move(path: readonly AddressedPart[]): void;
  /** Ends it because an engine of its path is lost. */
  leave(engineId: string, reason: string): void;
  abort(reason: string): void;
  pause(): void;
  resume(): void;
}

/** How a run ended. */
export interface StreamRunEnd {
  readonly how: ExchangeEnd;
  /** Whether it ended in the middle of an event. */
  readonly isCut: boolean;
  /** What came of an answer that is no stream. */
  readonly body: Buffer;
}

/** What is sent, and who hears of the answer. */
export interface StartStreamRunOptions {
  readonly path: readonly AddressedPart[];
  /** Whether the engines are told the path. */
  readonly isLayered: boolean;
  /** Leave to send to the first engine. */
  readonly grant: SendGrant;
  /** Tokens that it will take on each engine. */
  readonly tokens: number;
  /** Event after which the answer is to go on. */
  readonly lastEventId: string | undefined;
  readonly onHead: (run: StreamRun) => void;
  readonly onEvent: (run: StreamRun, event: StreamEvent) => void;
  readonly onEnd: (run: StreamRun, end: StreamRunEnd) => void;
}

/**
 * Sends a call over a path; its work counts on the engines until it ends.
 *
 * @param call - The call.
 * @param context - Engines and connections.
 * @param options - The path, and who hears of the answer.
 * @returns The run.
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
  let lostEngineId: string | undefined;
  let wasLeft = false;
  let firstEventMs: number | undefined;
  const isStream = () => head?.status === 200 && head.isSigned;
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  engines.addWork(path, { tokens });
  const endPrompt = engines.beginPrompt(path);

  function takeData(chunk: Buffer): void {
    if (!isStream()) return void chunks.push(chunk);
    for (const event of splitter.take(chunk)) {
      firstEventMs ??= now();
      endPrompt();
      options.onEvent(run, event);
    }
  }

  function takeEnd(how: ExchangeEnd): void {
    engines.removeWork(path, { tokens });
    endPrompt();
    const body = Buffer.concat(chunks);
    options.onEnd(run, { how, isCut: splitter.hasRest(), body });
  }

  function abort(reason: string): void {
    wasLeft = true;
    exchange.abort(reason);
  }

  const exchange = startCallExchange(call, context, {
    engine: path[0],
    path: options.isLayered ? path : [],
    grant: options.grant,
    lastEventId: options.lastEventId,
    onHead(told) {
      head = told;
      options.onHead(run);
    },
    onData: takeData,
    onEnd: takeEnd,
  });

  const run: StreamRun = {
    get path() {
      return path;
    },
    sentMs: now(),
    get lostEngineId() {
      return lostEngineId;
    },
    get wasLeft() {
      return wasLeft;
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
    move(next) {
      engines.removeWork(path, { tokens });
      path = next;
      engines.addWork(path, { tokens });
    },
    leave(lostId, reason) {
      lostEngineId = lostId;
      abort(reason);
    },
    abort,
    pause: exchange.pause,
    resume: exchange.resume,
  };
  return run;
}
