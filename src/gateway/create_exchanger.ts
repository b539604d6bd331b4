/**
 * One exchange with one upstream, over connections that are kept, telling
 * exactly how far a failed one had come.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import process from "node:process";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { EngineNotice } from "../engines/index.ts";
import type { CallerCodec, UpstreamHead } from "./protocol.ts";

/** What is sent, and who hears the answer. */
export interface ExchangeOptions {
  readonly engineId: string;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | null;
  readonly requestId: string;
  /**
   * Whether it may still leave, asked when a connection is there; always by default.
   * A connection takes up to 400 ms, in which its upstream may ask for a back-off.
   */
  readonly mayLeave?: () => boolean;
  /** Called once the head of the answer is in and belongs to the request. */
  readonly onHead: (head: UpstreamHead) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: (end: ExchangeEnd) => void;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | { readonly type: "complete" }
  /** No byte of the request had left. */
  | { readonly type: "notSent"; readonly reason: string }
  /** No byte had left when it no longer might. */
  | { readonly type: "withheld" }
  /** It was sent; whether it ran is not known. */
  | { readonly type: "broken"; readonly reason: string };

/** An exchange under way. */
export interface Exchange {
  /** Ends it; the upstream sees its connection close. */
  abort(reason: string): void;
  pause(): void;
  resume(): void;
}

/** Makes exchanges; keeps the connections. */
export interface Exchanger extends AsyncDisposable {
  start(options: ExchangeOptions): Exchange;
  /** Whether a connection to an upstream stands idle. */
  hasIdleConnection(engineId: string): boolean;
  /** Closes the idle connections to an upstream that is gone. */
  forget(engineId: string): void;
}

/** What the exchanger needs of its program. */
export interface CreateExchangerOptions {
  /** Called with what an upstream says of itself in any answer, also a late one. */
  readonly onNotice?: (engineId: string, notice: EngineNotice) => void;
}

/** Ms for a connection within a region; far above a round trip. */
const CONNECT_TIMEOUT_MS = 400;

/** Ms for which an idle connection is kept where the upstream says nothing. */
const KEEP_ALIVE_MS = 4_000;

/** Ms by which a connection is closed before the upstream would close it. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Code of a reset that the library does not take for an end. */
const RESET_CODE = "CONNECTION_WAS_RESET";

/**
 * Makes an exchanger.
 *
 * @param codec - Reads the heads of answers.
 * @param options - Who hears what upstreams say of themselves.
 * @returns The exchanger; disposing of it closes its connections.
 * @throws Nothing.
 * @example
 * await using exchanger = createExchanger(codec);
 */
export function createExchanger(
  codec: Pick<CallerCodec, "readUpstreamHead">,
  { onNotice = () => {} }: CreateExchangerOptions = {},
): Exchanger {
  const pools = new Map<string, Pool>();
  let isClosed = false;
  // True while the end of a connection that was reset is told; the library
  // ends its answer in the same turn.
  let isEndedByReset = false;

  function noteResetEnd(): void {
    isEndedByReset = true;
    process.nextTick(() => {
      isEndedByReset = false;
    });
  }

  function getPool(engineId: string, address: string): Pool {
    const known = pools.get(engineId);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      connect: createConnector(noteResetEnd),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The gateway has time limits of its own for each request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(engineId, pool);
    return pool;
  }

  function start(options: ExchangeOptions): Exchange {
    return isClosed ? refuseToStart(options) : send(options);
  }

  // Streams that are cut by the end of the process try to go on.
  function refuseToStart({ onEnd }: ExchangeOptions): Exchange {
    queueMicrotask(() => onEnd({ type: "notSent", reason: "stopping" }));
    return { abort: () => {}, pause: () => {}, resume: () => {} };
  }

  function send(options: ExchangeOptions): Exchange {
    const { engineId, address, method, target, headers, body } = options;
    let controller: Dispatcher.DispatchController | undefined;
    let isSent = false;
    let isEnded = false;
    const connectTimer = setTimeout(
      () => abort("no connection"),
      CONNECT_TIMEOUT_MS,
    );

    function end(ended: ExchangeEnd): void {
      if (isEnded) return;
      isEnded = true;
      clearTimeout(connectTimer);
      options.onEnd(ended);
    }

    function fail(reason: string): void {
      end(isSent ? { type: "broken", reason } : { type: "notSent", reason });
    }

    function abort(reason: string): void {
      if (isEnded) return;
      // Settled first: what the library reports afterwards is no news.
      fail(reason);
      controller?.abort(new Error(reason));
    }

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(started) {
        controller = started;
        clearTimeout(connectTimer);
        if (options.mayLeave?.() === false) end({ type: "withheld" });
        if (isEnded) started.abort(new Error("given up"));
        else isSent = true;
      },
      onResponseStart(_controller, status, answerHeaders) {
        if (status < 200) return;
        const head = codec.readUpstreamHead(status, answerHeaders);
        onNotice(engineId, head);
        if (isEnded) return;
        if (head.requestId !== options.requestId) {
          return abort("answer to another request");
        }
        options.onHead(head);
      },
      onResponseData(_controller, chunk) {
        if (!isEnded) options.onData(chunk);
      },
      onResponseEnd() {
        if (isEndedByReset) fail("reset behind the data");
        else end({ type: "complete" });
      },
      onResponseError: (_controller, error) => fail(error.message),
    };
    getPool(engineId, address).dispatch(
      {
        path: target,
        method: method as Dispatcher.HttpMethod,
        headers,
        body,
      },
      handler,
    );
    return {
      abort,
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  return {
    start,
    hasIdleConnection: (engineId) => (pools.get(engineId)?.stats.free ?? 0) > 0,
    forget(engineId) {
      const pool = pools.get(engineId);
      pools.delete(engineId);
      void pool?.close().catch(() => {});
    },
    async [Symbol.asyncDispose]() {
      isClosed = true;
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}

// An answer without a length ends with its connection, and one that is reset
// is not complete. Two signs of a reset get lost on the way: the library takes
// the error for an end, and the runtime tells an end where the reset came right
// behind the data. In the second case the peer's address is gone at the end; it
// is looked at only then, for the runtime keeps the first one it reads.
function createConnector(
  onResetEnd: () => void,
): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS * 4 });
  return (options, done) => {
    connect(options, (...result) => {
      const socket = result[1];
      socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = RESET_CODE;
      });
      socket?.prependListener("end", () => {
        if (socket.remoteAddress === undefined) onResetEnd();
      });
      done(...result);
    });
  };
}
