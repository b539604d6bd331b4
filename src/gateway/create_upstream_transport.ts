/**
 * HTTP client for upstreams. It keeps connections alive and reports exactly how far
 * a failed exchange had come.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { Client, type Dispatcher, Pool } from "undici";
import type { EngineNotice } from "../engines/index.ts";
import { createResetDetector, isKnownStatus } from "../http/index.ts";
import type { UpstreamLimitsSettings } from "../settings/index.ts";
import {
  createFailedRequests,
  type FailedRequests,
} from "./create_failed_requests.ts";
import { createReadLimiter, type ReadMeter } from "./create_read_limiter.ts";
import {
  getExceededLimit,
  type UpstreamLimit,
  UpstreamLimitError,
} from "./gateway_error.ts";
import type { CallerCodec, UpstreamHead } from "./protocol.ts";

/** The request of one exchange, and callbacks for the answer. */
export interface ExchangeOptions {
  readonly engineId: string;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Header names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | null;
  readonly requestId: string;
  /**
   * Whether the request may still be sent; called once a connection is available. By
   * default it always may. Connecting takes up to 400 ms, during which the upstream may
   * ask for a back-off.
   */
  readonly maySend?: () => boolean;
  /** Called when the head of the answer has arrived and matches the request. */
  readonly onHead: (head: UpstreamHead) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: (end: ExchangeEnd) => void;
  /**
   * Whether the body is forwarded as it arrives. It is not limited in size then, and
   * its bytes are progress only where `noteProgress` is called for them.
   */
  readonly isForwarded?: (head: UpstreamHead) => boolean;
  /**
   * Whether the body of an answer that reports that the request did not run is needed.
   * By default it is not, and the exchange ends with the head.
   */
  readonly needsRejectionBody?: boolean;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | { readonly type: "complete" }
  /** No byte of the request was sent. */
  | { readonly type: "notSent"; readonly reason: string }
  /** `maySend` returned false before any byte was sent. */
  | { readonly type: "withheld" }
  /** The request was sent; whether it ran is unknown. */
  | {
    readonly type: "broken";
    readonly reason: string;
    /** Limit that the upstream exceeded, if it did. */
    readonly limit?: UpstreamLimit;
  };

/** An exchange in progress. */
export interface Exchange {
  /** Whether bytes of the request may have reached the upstream. */
  readonly isSent: boolean;
  /** Aborts the exchange and closes its connection. */
  abort(reason: string): void;
  pause(): void;
  resume(): void;
  /** Records that bytes of a forwarded body were of use. */
  noteProgress(usefulBytes: number): void;
}

/** The connections to one upstream. */
interface UpstreamConnections {
  readonly pool: Pool;
  readonly failedRequests: FailedRequests;
}

/** Starts exchanges over a connection pool for each upstream. */
export interface UpstreamTransport extends AsyncDisposable {
  start(options: ExchangeOptions): Exchange;
  /** Whether there is an idle connection to an upstream. */
  hasIdleConnection(engineId: string): boolean;
  /**
   * Closes the idle connections to an upstream from which no answer has come for longer
   * than `maxSilenceMs`.
   */
  closeSilent(engineId: string, maxSilenceMs: number): void;
  /** Closes the idle connections to an upstream that has departed. */
  removeUpstream(engineId: string): void;
}

/** Options of {@link createUpstreamTransport}. */
export interface CreateUpstreamTransportOptions {
  /** Called with the status notice in each answer of an upstream, even a late one. */
  readonly onNotice?: (engineId: string, notice: EngineNotice) => void;
  /** Called when a new connection to an upstream was accepted. */
  readonly onConnected?: (engineId: string) => void;
  /** What an upstream may send; unlimited by default. */
  readonly limits?: Pick<
    UpstreamLimitsSettings,
    "answerBytes" | "withoutProgressBytes" | "withoutProgressReads"
  >;
}

/** Limits of a transport that has none. */
const UNLIMITED = {
  answerBytes: Infinity,
  withoutProgressBytes: Infinity,
  withoutProgressReads: Infinity,
};

/** Bytes that are read of the body of a rejection before its connection is closed. */
const REJECTION_BYTES = 16_384;

/** Ms after which the connection of a rejection whose body has not ended is closed. */
const REJECTION_MS = 1_000;

/** Status from which on an answer is no success. */
const FIRST_FAILURE_STATUS = 300;

/** Time-out, in ms, of a connection attempt within a region; far above a round trip. */
const CONNECT_TIMEOUT_MS = 400;

/** Ms for which an idle connection is kept if the upstream sends no keep-alive hint. */
const KEEP_ALIVE_MS = 4_000;

/** Ms before the upstream's own idle time-out at which a connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/**
 * Creates an HTTP client for upstreams.
 *
 * @param codec - Reads the heads of answers.
 * @param options - Callback for the status notices of upstreams.
 * @returns The client; disposing of it closes its connections.
 * @throws Nothing.
 * @example
 * await using client = createUpstreamClient(codec);
 */
export function createUpstreamTransport(
  codec: Pick<CallerCodec, "readUpstreamHead">,
  options: CreateUpstreamTransportOptions = {},
): UpstreamTransport {
  const { onNotice = () => {}, onConnected = () => {} } = options;
  const { limits = UNLIMITED } = options;
  const readLimiter = createReadLimiter(limits);
  const resetDetector = createResetDetector({
    timeout: CONNECT_TIMEOUT_MS * 4,
  });
  const upstreams = new Map<string, UpstreamConnections>();
  const clients = new WeakMap<Socket, Client>();
  const answeredMs = new Map<string, number>();
  let isClosed = false;

  function getConnections(
    engineId: string,
    address: string,
  ): UpstreamConnections {
    const known = upstreams.get(engineId);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      factory: (origin, clientOptions) =>
        createClient(origin, { ...clientOptions, engineId }),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The gateway applies its own time limits to each request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const created = { pool, failedRequests: createFailedRequests() };
    upstreams.set(engineId, created);
    return created;
  }

  // Each client of a pool has one connection at a time.
  function createClient(
    origin: URL,
    { engineId, ...clientOptions }: Client.Options & { engineId: string },
  ): Client {
    const client = new Client(origin, {
      ...clientOptions,
      connect(target, done) {
        resetDetector.connect(target, (...result) => {
          const socket = result[1];
          if (socket) {
            readLimiter.watch(socket);
            clients.set(socket, client);
            onConnected(engineId);
          }
          done(...result);
        });
      },
    });
    return client;
  }

  // A request that failed before goes over other connections, as a late copy of its first
  // answer would be taken for the next one.
  function closeConnectionsOfAnswers(
    { failedRequests }: UpstreamConnections,
    requestId: string,
  ): void {
    for (const socket of failedRequests.listConnections(requestId)) {
      // One that serves another request is not chosen.
      if (clients.get(socket)?.stats.size === 0) socket.destroy();
    }
  }

  function start(options: ExchangeOptions): Exchange {
    return isClosed ? rejectWhenClosed(options) : send(options);
  }

  // Streams that break because this process is stopping try to resume.
  function rejectWhenClosed({ onEnd }: ExchangeOptions): Exchange {
    queueMicrotask(() => onEnd({ type: "notSent", reason: "stopping" }));
    const nothing = () => {};
    return {
      isSent: false,
      abort: nothing,
      pause: nothing,
      resume: nothing,
      noteProgress: nothing,
    };
  }

  function send(options: ExchangeOptions): Exchange {
    const { engineId, address, method, target, headers, body } = options;
    const { requestId } = options;
    let connections: UpstreamConnections | undefined;
    let controller: Dispatcher.DispatchController | undefined;
    let isSent = false;
    let isEnded = false;
    let isForwarded = false;
    let bodyBytes = 0;
    let meter: ReadMeter | undefined;
    let rejectionTimer: ReturnType<typeof setTimeout> | undefined;
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

    function fail(reason: string, limit?: UpstreamLimit): void {
      const broken = { type: "broken", reason, ...(limit ? { limit } : {}) };
      end(isSent ? broken as ExchangeEnd : { type: "notSent", reason });
    }

    function abort(reason: string): void {
      if (isEnded) return;
      // Settle the exchange first, so that the error that the library reports for the
      // abort is ignored.
      fail(reason);
      controller?.abort(new Error(reason));
    }

    // Pausing the library instead would end this process: it asserts that a connection
    // whose reading it has paused does not end.
    function pause(): void {
      if (!isEnded) meter?.pause();
    }

    function resume(): void {
      if (!isEnded) meter?.resume();
    }

    function failAtLimit(limit: UpstreamLimit): void {
      const error = new UpstreamLimitError(`upstream exceeded ${limit}`, {
        props: { limit },
      });
      fail(error.message, limit);
      controller?.abort(error);
    }

    // The rest of the body is read only so that the connection can be used again.
    function endRejected(): void {
      end({ type: "complete" });
      rejectionTimer = setTimeout(closeRejected, REJECTION_MS);
    }

    function closeRejected(): void {
      clearTimeout(rejectionTimer);
      controller?.abort(new Error("rejection without an end"));
    }

    function limitRejection(): void {
      if (bodyBytes > REJECTION_BYTES) closeRejected();
    }

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(started) {
        controller = started;
        clearTimeout(connectTimer);
        if (options.maySend?.() === false) end({ type: "withheld" });
        if (isEnded) started.abort(new Error("exchange has ended"));
        else isSent = true;
      },
      onResponseStart(_controller, status, answerHeaders) {
        if (!isKnownStatus(status)) return abort("unknown status");
        if (status < 200) return;
        if (upstreams.has(engineId)) {
          answeredMs.set(engineId, performance.now());
        }
        const head = codec.readUpstreamHead(status, answerHeaders);
        onNotice(engineId, head);
        if (isEnded) return;
        if (head.requestId !== requestId) {
          return abort("answer to another request");
        }
        if (head.isCoded && !head.reportsNotRun) {
          return abort("transfer coding that was not requested");
        }
        meter = readLimiter.getCurrent();
        meter?.reset();
        if (meter && (head.reportsNotRun || status >= FIRST_FAILURE_STATUS)) {
          connections?.failedRequests.note(meter.socket, requestId);
        }
        isForwarded = options.isForwarded?.(head) ?? false;
        options.onHead(head);
        if (head.reportsNotRun && !options.needsRejectionBody) endRejected();
      },
      onResponseData(_controller, chunk) {
        bodyBytes += chunk.length;
        if (!isForwarded) meter?.noteProgress(chunk.length);
        if (isEnded) return limitRejection();
        if (!isForwarded && bodyBytes > limits.answerBytes) {
          return failAtLimit("answerBytes");
        }
        options.onData(chunk);
      },
      onResponseEnd() {
        clearTimeout(rejectionTimer);
        meter?.reset();
        if (meter && connections?.failedRequests.isFull(meter.socket)) {
          meter.socket.destroy();
        }
        if (resetDetector.isEndedByReset()) fail("reset behind the data");
        else end({ type: "complete" });
      },
      onResponseError(_controller, error) {
        clearTimeout(rejectionTimer);
        fail(error.message, getExceededLimit(error));
      },
    };
    try {
      connections = getConnections(engineId, address);
      closeConnectionsOfAnswers(connections, requestId);
      connections.pool.dispatch(
        {
          path: target,
          method: method as Dispatcher.HttpMethod,
          headers,
          body,
        },
        handler,
      );
    } catch (error) {
      // The library throws for an address that is none. The exchange may end only after
      // it was returned.
      const { message } = error as Error;
      queueMicrotask(() => fail(message));
    }
    return {
      get isSent() {
        return isSent;
      },
      abort,
      pause,
      resume,
      noteProgress: (usefulBytes) => meter?.noteProgress(usefulBytes),
    };
  }

  function hasIdleConnection(engineId: string): boolean {
    return (upstreams.get(engineId)?.pool.stats.free ?? 0) > 0;
  }

  function removeUpstream(engineId: string): void {
    const connections = upstreams.get(engineId);
    upstreams.delete(engineId);
    answeredMs.delete(engineId);
    void connections?.pool.close().catch(() => {});
  }

  return {
    start,
    hasIdleConnection,
    closeSilent(engineId, maxSilenceMs) {
      if (!hasIdleConnection(engineId)) return;
      const silenceMs = performance.now() -
        (answeredMs.get(engineId) ?? -Infinity);
      if (silenceMs > maxSilenceMs) removeUpstream(engineId);
    },
    removeUpstream,
    async [Symbol.asyncDispose]() {
      isClosed = true;
      await Promise.all(
        [...upstreams.values()].map(({ pool }) => pool.destroy()),
      );
    },
  };
}
