/**
 * HTTP client for upstreams that reports in which phase a call failed.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import { Agent, type Dispatcher } from "undici";
import {
  createResetDetector,
  isKnownStatus,
  probeAddress,
  readFraming,
  type ResetDetector,
} from "../http/index.ts";
import { HEADERS } from "../model/index.ts";
import type { DispatchFailure, DispatchFault } from "../retry/index.ts";
import { createReadPauses } from "./create_read_pauses.ts";
import { pauseBodies } from "./pause_bodies.ts";
import { DispatchError, UpstreamError } from "./upstream_error.ts";

/** A call to an upstream. */
export interface UpstreamCall {
  /** Base URL of the upstream. */
  readonly address: string;
  readonly method: string;
  /** Path, including the query. */
  readonly path: string;
  readonly headers?: Record<string, string | string[]>;
  readonly body?: string | Uint8Array;
  /** Timeout, in ms, for the start of the response. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** A response whose body has not been read yet. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable & { text(): Promise<string>; dump(): Promise<void> };
}

/** A client for upstreams that pools its connections. */
export interface UpstreamClient extends AsyncDisposable {
  /** Rejects with a {@link DispatchError} if the call fails. */
  call(call: UpstreamCall): Promise<UpstreamAnswer>;
}

/** Options of {@link createUpstreamClient}. */
export interface CreateUpstreamClientOptions {
  /** Timeout, in ms, for establishing a connection. */
  readonly connectTimeoutMs?: number;
  /** Maximum time, in ms, between two chunks of a response body. */
  readonly bodyTimeoutMs?: number;
  /** Maximum number of connections to one upstream. */
  readonly connections?: number;
}

/** Default connect timeout, in ms; far above a round trip within a region. */
const CONNECT_TIMEOUT_MS = 500;

/** Default timeout between two chunks of a response body, in ms. */
const BODY_TIMEOUT_MS = 30_000;

/** Time, in ms, for an upstream's address to accept or refuse a connection. */
const PROBE_TIMEOUT_MS = 200;

/** Default limit of connections to one upstream; engines batch concurrent requests. */
const CONNECTIONS = 256;

/** Whether the request was handed to a connection; passed along with the call. */
interface WriteState {
  written: boolean;
}

type TrackedOptions = Dispatcher.DispatchOptions & { writeState?: WriteState };

/**
 * Creates a client for upstreams.
 *
 * @param options - The timeouts and the connection limit.
 * @returns The client; disposing it closes its connections.
 * @throws Nothing.
 * @example
 * await using client = createUpstreamClient();
 */
export function createUpstreamClient(
  options: CreateUpstreamClientOptions = {},
): UpstreamClient {
  const {
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
    bodyTimeoutMs = BODY_TIMEOUT_MS,
    connections = CONNECTIONS,
  } = options;
  const resetDetector = createResetDetector({ timeout: connectTimeoutMs });
  const pauses = createReadPauses();
  const agent = new Agent({
    connect(target, done) {
      resetDetector.connect(target, (...result) => {
        const socket = result[1];
        if (socket) pauses.watch(socket);
        done(...result);
      });
    },
    connections,
    pipelining: 1,
    // The library's own limit includes the time for which a body is not read.
    bodyTimeout: 0,
    keepAliveTimeout: 30_000,
  });
  const dispatcher = agent.compose(
    trackWrites,
    failCutAnswers(resetDetector),
    pauseBodies(pauses, { bodyTimeoutMs }),
  );

  async function call(request: UpstreamCall): Promise<UpstreamAnswer> {
    const writeState: WriteState = { written: false };
    const { address, method, path, headers, body, timeoutMs, signal } = request;
    try {
      const answer = await dispatcher.request({
        origin: address,
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body,
        headersTimeout: timeoutMs,
        signal,
        writeState,
      } as Dispatcher.RequestOptions);
      const { statusCode: status, headers: answerHeaders } = answer;
      const received = { status, headers: answerHeaders, body: answer.body };
      if (!isKnownStatus(status)) {
        received.body.on("error", () => {}).destroy();
        throw new UpstreamError("unknown status");
      }
      if (readFraming(received).isCoded && !reportsNotRun(received)) {
        received.body.on("error", () => {}).destroy();
        throw new UpstreamError("transfer coding that was not requested");
      }
      return received;
    } catch (cause) {
      const failure = classifyCallError(cause, writeState);
      throw new DispatchError(
        `Call to ${address}${path} failed: ${failure.phase}, ${failure.fault}`,
        { cause, props: { failure } },
      );
    }
  }

  return {
    call,
    async [Symbol.asyncDispose]() {
      await agent.destroy();
    },
  };
}

// Records when a request is handed to a connection: until then, no byte of it can
// have been sent.
const trackWrites: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) => {
    const { writeState } = options as TrackedOptions;
    if (!writeState) return dispatch(options, handler);
    return dispatch(options, {
      onRequestStart(controller, context) {
        writeState.written = true;
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
      onResponseStart: (...given) => handler.onResponseStart?.(...given),
      onResponseData: (...given) => handler.onResponseData?.(...given),
      onResponseEnd: (...given) => handler.onResponseEnd?.(...given),
      onResponseError: (...given) => handler.onResponseError?.(...given),
    });
  };

// A response without a length ends with its connection. It is incomplete if the connection
// was reset, or if the upstream crashed, which closes the connection just as its end does.
function failCutAnswers(
  { isEndedByReset }: Pick<ResetDetector, "isEndedByReset">,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    let endsWithConnection = false;
    return dispatch(options, {
      onRequestStart: (...given) => handler.onRequestStart?.(...given),
      onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
      onResponseStart(controller, status, headers, statusMessage) {
        const { method } = options;
        const head = { status, headers, method };
        endsWithConnection = readFraming(head).endsWithConnection;
        handler.onResponseStart?.(controller, status, headers, statusMessage);
      },
      onResponseData: (...given) => handler.onResponseData?.(...given),
      onResponseEnd(controller, trailers) {
        const fail = (message: string) =>
          handler.onResponseError?.(controller, new UpstreamError(message));
        if (isEndedByReset()) return fail("response was reset");
        const end = () => handler.onResponseEnd?.(controller, trailers);
        if (!endsWithConnection) return end();
        void hasEnded(options).then((ended) =>
          ended ? fail("upstream ended with its response") : end()
        );
      },
      onResponseError: (...given) => handler.onResponseError?.(...given),
    });
  };
}

async function hasEnded(
  { origin = "" }: Dispatcher.DispatchOptions,
): Promise<boolean> {
  const { hostname, port, protocol } = new URL(origin);
  const defaultPort = protocol === "https:" ? 443 : 80;
  const address = `${hostname}:${port || defaultPort}`;
  const options = { timeoutMs: PROBE_TIMEOUT_MS };
  return await probeAddress(address, options) === "ended";
}

function classifyCallError(
  error: unknown,
  writeState: WriteState,
): DispatchFailure {
  const { code = "", name = "" } = error as NodeJS.ErrnoException;
  if (!writeState.written) return { phase: "connecting", fault: "refused" };
  const timedOut = code === "UND_ERR_HEADERS_TIMEOUT" ||
    name === "AbortError" || name === "TimeoutError";
  const fault: DispatchFault = timedOut ? "timeout" : "reset";
  return { phase: "sent", fault };
}

/**
 * Reads from a response whether the upstream reports that it did not run the
 * request.
 *
 * @param answer - The response.
 * @returns Whether the upstream reports that the request did not run.
 * @throws Nothing.
 * @example
 * if (reportsNotRun(answer)) retry();
 */
export function reportsNotRun(
  answer: Pick<UpstreamAnswer, "status" | "headers">,
): boolean {
  return answer.status >= 400 && answer.headers[HEADERS.outcome] === "not_run";
}
