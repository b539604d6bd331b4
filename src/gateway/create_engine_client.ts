/**
 * HTTP client for status queries and orders to engines. An exchange is limited in bytes
 * and in time, from its request to the end of its body.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { TextDecoder } from "node:util";
import { Agent, type Dispatcher } from "undici";
import { createResetDetector, withTimeout } from "../http/index.ts";
import { createReadLimiter, type ReadMeter } from "./create_read_limiter.ts";
import { GatewayError, UpstreamLimitError } from "./gateway_error.ts";

/** A request to an engine. */
export interface EngineRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time limit for the whole exchange, in ms. */
  readonly timeoutMs: number;
}

/** An answer of which the head has arrived. */
export interface EngineAnswer {
  readonly status: number;
  /** Header fields, with names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Resolves with the body; rejects if the exchange exceeds a limit before its end. */
  readonly text: Promise<string>;
}

/** Sends requests to engines. */
export interface EngineClient extends AsyncDisposable {
  /** Resolves when the head of the answer has arrived. */
  send(address: string, request: EngineRequest): Promise<EngineAnswer>;
}

/** Options of {@link createEngineClient}. */
export interface CreateEngineClientOptions {
  /** Bytes that an engine may send for one exchange. */
  readonly maxBytes: number;
}

/** After this time a connection attempt fails, and the next call starts another. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Ms for which an idle connection is kept. */
const KEEP_ALIVE_MS = 2_000;

/** Interim heads that an engine may send before the head of its answer. */
const MAX_INTERIM_HEADS = 16;

/** Memory that a piece of a body takes besides its bytes. */
const PIECE_OVERHEAD_BYTES = 64;

/** Connections to one engine; one is enough for reports and orders. */
const CONNECTIONS = 2;

/**
 * Creates a client for status queries and orders. Past a limit the connection is closed
 * at once.
 *
 * @param options - The bytes that an engine may send for one exchange.
 * @returns The client; disposing of it closes its connections.
 * @throws Nothing.
 * @example
 * await using client = createEngineClient({ maxBytes: 1_048_576 });
 */
export function createEngineClient(
  { maxBytes }: CreateEngineClientOptions,
): EngineClient {
  const readLimiter = createReadLimiter({
    withoutProgressBytes: maxBytes,
    withoutProgressReads: Infinity,
  });
  const resetDetector = createResetDetector({ timeout: CONNECT_TIMEOUT_MS });
  const agent = new Agent({
    connections: CONNECTIONS,
    connect(options, done) {
      resetDetector.connect(options, (...result) => {
        const socket = result[1];
        if (socket) readLimiter.watch(socket);
        done(...result);
      });
    },
    keepAliveTimeout: KEEP_ALIVE_MS,
    // Each exchange has its own time limit.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  function send(
    address: string,
    { timeoutMs, ...request }: EngineRequest,
  ): Promise<EngineAnswer> {
    return new Promise((resolveAnswer, rejectAnswer) => {
      let controller: Dispatcher.DispatchController | undefined;
      let failure: Error | undefined;
      const text = new Promise<string>((resolveText, rejectText) => {
        const chunks: Buffer[] = [];
        let heldBytes = 0;
        let interimHeads = 0;
        let meter: ReadMeter | undefined;
        agent.dispatch({ ...request, origin: `http://${address}` }, {
          onRequestStart(started) {
            controller = started;
            // A connection that was established after the time limit.
            if (failure) started.abort(failure);
          },
          onResponseStart(started, status, headers) {
            if (status < 200) {
              interimHeads += 1;
              if (interimHeads > MAX_INTERIM_HEADS) abortAtLimit(started);
              return;
            }
            meter = readLimiter.getCurrent();
            resolveAnswer({ status, headers, text: limitedText });
          },
          onResponseData(started, chunk) {
            heldBytes += chunk.length + PIECE_OVERHEAD_BYTES;
            if (heldBytes > maxBytes) return abortAtLimit(started);
            chunks.push(chunk);
          },
          onResponseEnd() {
            meter?.reset();
            if (resetDetector.isEndedByReset()) {
              return rejectText(new GatewayError("answer was reset"));
            }
            resolveText(new TextDecoder().decode(Buffer.concat(chunks)));
          },
          onResponseError(_controller, error) {
            rejectText(error);
          },
        });
      });
      const limitedText = withTimeout(text, { timeoutMs });
      limitedText.catch((error) => {
        failure = error;
        controller?.abort(error);
        rejectAnswer(error);
      });
    });
  }

  return {
    send,
    async [Symbol.asyncDispose]() {
      await agent.destroy();
    },
  };
}

function abortAtLimit(controller: Dispatcher.DispatchController): void {
  const limit = "reportBytes";
  const message = `engine exceeded ${limit}`;
  controller.abort(new UpstreamLimitError(message, { props: { limit } }));
}
