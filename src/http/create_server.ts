/**
 * HTTP servers with limits, problem documents and TLS files that are reloaded.
 *
 * @module
 */

import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { Server as HttpsServer } from "node:https";
import type { Socket } from "node:net";
import Fastify, { type FastifyError, type FastifyInstance } from "fastify";
import type { Logger } from "../logs/index.ts";
import type { TlsFilesSettings } from "../settings/index.ts";
import {
  createLimitedServer,
  MANY_CLIENTS_LIMITS,
} from "./create_limited_server.ts";
import {
  formatProblem,
  INTERNAL_PROBLEM,
  type Problem,
  PROBLEM_TYPE,
  sendProblem,
} from "./problem.ts";

/** Limits of a listener. */
export interface ServerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  /** Time within which a caller must send the complete request, in ms. */
  readonly requestTimeoutMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleTimeoutMs: number;
}

/** Options of {@link createServer}. */
export interface CreateServerOptions {
  readonly limits: ServerLimits;
  readonly tls?: TlsFilesSettings;
  readonly log: Logger;
  /** Called with the reason of each request that the server rejects. */
  readonly onRefusal?: (
    reason: "bad_request" | "body_too_large" | "not_found",
  ) => void;
}

/** Interval at which the TLS files are checked for changes, in ms. */
const TLS_POLL_MS = 1_000;

/** Interval at which connections are checked for time-outs, in ms. */
const CONNECTION_CHECK_MS = 500;

/**
 * Creates an HTTP server.
 *
 * @param options - Limits, TLS files, the log, and a callback for rejected requests.
 * @returns The server, not yet listening.
 * @throws {Error} If the TLS files can't be read.
 * @example
 * const server = createServer({ limits, log });
 */
export function createServer(options: CreateServerOptions): FastifyInstance {
  const { limits, tls, log, onRefusal = () => {} } = options;
  const common = {
    bodyLimit: limits.bodyBytes,
    forceCloseConnections: "idle" as const,
    logger: false as const,
    exposeHeadRoutes: false,
    clientErrorHandler(error: NodeJS.ErrnoException, socket: Socket) {
      if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
      }
      onRefusal("bad_request");
      socket.end(formatRawResponse(error));
    },
  };
  const server = Fastify({
    ...common,
    serverFactory: (handler) =>
      createLimitedServer(handler, {
        limits: MANY_CLIENTS_LIMITS,
        tls: tls ? readTls(tls) : undefined,
        maxHeaderSize: limits.headerBytes,
        requestTimeout: limits.requestTimeoutMs,
        headersTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: limits.idleTimeoutMs,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      }),
  }) as unknown as FastifyInstance;
  if (tls) reloadTls(server, { tls, log });
  server.setErrorHandler((error: FastifyError, _request, reply) => {
    const problem = describeServerError(error);
    if (problem.status >= 500) log("internalError", { error });
    else onRefusal(problem.reason as "bad_request" | "body_too_large");
    // Fastify would close the connection while the caller is still sending its
    // body, so the caller might never read the response. Instead the rest of the
    // body is read and discarded, within the request time-out.
    reply.removeHeader("connection");
    return sendProblem(reply, problem);
  });
  server.setNotFoundHandler((_request, reply) => {
    onRefusal("not_found");
    return sendProblem(reply, {
      status: 404,
      reason: "not_found",
      detail: "No such address",
      outcome: "not_run",
    });
  });
  return server;
}

function describeServerError(error: FastifyError): Problem {
  if (error.statusCode === 413) {
    return {
      status: 413,
      reason: "body_too_large",
      detail: "The body is larger than allowed",
      outcome: "not_run",
    };
  }
  const isClientError = (error.statusCode ?? 500) < 500;
  return isClientError
    ? {
      status: error.statusCode ?? 400,
      reason: "bad_request",
      detail: error.message,
      outcome: "not_run",
    }
    : INTERNAL_PROBLEM;
}

// The HTTP parser or a time-out failed before there was a request object, so the
// response is formatted here.
function formatRawResponse(error: NodeJS.ErrnoException): string {
  const timedOut = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const tooLarge = error.code === "HPE_HEADER_OVERFLOW";
  const status = timedOut ? 408 : tooLarge ? 431 : 400;
  const body = formatProblem({
    status,
    reason: "bad_request",
    detail: timedOut
      ? "The request took too long to arrive"
      : tooLarge
      ? "The request's header is too large"
      : "The request can't be understood",
    outcome: "not_run",
  });
  const lines = [
    `HTTP/1.1 ${status} Refused`,
    `content-type: ${PROBLEM_TYPE}`,
    `content-length: ${body.length}`,
    "connection: close",
    "crowlever-outcome: not_run",
    "",
    body,
  ];
  return lines.join("\r\n");
}

function readTls(tls: TlsFilesSettings) {
  const ca = tls.authorityFile ? readFileSync(tls.authorityFile) : undefined;
  return {
    key: readFileSync(tls.keyFile),
    cert: readFileSync(tls.certificateFile),
    ...(ca ? { ca, requestCert: true, rejectUnauthorized: true } : {}),
  };
}

function reloadTls(
  server: FastifyInstance,
  options: { tls: TlsFilesSettings; log: Logger },
): void {
  const { tls, log } = options;
  const files = [tls.keyFile, tls.certificateFile];
  function reload(): void {
    try {
      (server.server as HttpsServer).setSecureContext(readTls(tls));
      log("tlsReloaded", { files });
    } catch (error) {
      log("tlsReloadFailed", { error });
    }
  }
  for (const file of files) watchFile(file, { interval: TLS_POLL_MS }, reload);
  server.addHook("onClose", (_server, done) => {
    for (const file of files) unwatchFile(file, reload);
    done();
  });
}
