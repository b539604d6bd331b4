/**
 * Pauses the bodies of responses that are not read.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { ReadPause, ReadPauses } from "./create_read_pauses.ts";
import { UpstreamError } from "./upstream_error.ts";

/** Options of {@link pauseBodies}. */
export interface PauseBodiesOptions {
  /** Maximum time, in ms, between two chunks of a body that is read. */
  readonly bodyTimeoutMs: number;
}

type Controller = Dispatcher.DispatchController;

/** The body of a response that has begun. */
interface OpenBody {
  /** Passed on in place of the library's. */
  readonly controller: Controller;
  noteData(): void;
  end(): void;
}

/**
 * Creates an interceptor that pauses connections in place of the library's parser. It
 * also limits the time between two chunks: the library's limit would go on while a body
 * is paused.
 *
 * @param pauses - Pauses the connections of the client.
 * @param options - The time limit.
 * @returns The interceptor.
 * @throws Nothing.
 * @example
 * agent.compose(pauseBodies(pauses, { bodyTimeoutMs: 30_000 }));
 */
export function pauseBodies(
  pauses: ReadPauses,
  options: PauseBodiesOptions,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) => {
    let body: OpenBody | undefined;
    return dispatch(request, {
      onRequestStart: (...given) => handler.onRequestStart?.(...given),
      onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
      onResponseStart(controller, status, headers, statusMessage) {
        if (status >= 200) {
          body = openBody(controller, {
            ...options,
            connection: pauses.getCurrent(),
          });
        }
        const own = body?.controller ?? controller;
        handler.onResponseStart?.(own, status, headers, statusMessage);
      },
      onResponseData(controller, chunk) {
        body?.noteData();
        handler.onResponseData?.(body?.controller ?? controller, chunk);
      },
      onResponseEnd(controller, trailers) {
        body?.end();
        handler.onResponseEnd?.(controller, trailers);
      },
      onResponseError(controller, error) {
        body?.end();
        handler.onResponseError?.(controller, error);
      },
    });
  };
}

function openBody(
  library: Controller,
  { bodyTimeoutMs, connection }: PauseBodiesOptions & {
    readonly connection: ReadPause | undefined;
  },
): OpenBody {
  let timer: ReturnType<typeof setTimeout> | undefined;
  let isPaused = false;
  let hasEnded = false;

  function restartTimer(): void {
    clearTimeout(timer);
    if (hasEnded || isPaused) return;
    timer = setTimeout(
      () => library.abort(new UpstreamError("no data in time")),
      bodyTimeoutMs,
    );
  }

  restartTimer();
  return {
    noteData: restartTimer,
    // The next response of the connection is not paused.
    end() {
      hasEnded = true;
      clearTimeout(timer);
      connection?.resume();
    },
    controller: {
      get aborted() {
        return library.aborted;
      },
      get paused() {
        return isPaused;
      },
      get reason() {
        return library.reason;
      },
      abort: (reason) => library.abort(reason),
      pause() {
        if (hasEnded) return;
        isPaused = true;
        clearTimeout(timer);
        connection?.pause();
      },
      resume() {
        if (hasEnded) return;
        isPaused = false;
        restartTimer();
        connection?.resume();
      },
    },
  };
}
