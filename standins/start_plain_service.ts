/**
 * A small stand-in for a plain service that counts requests and fails on demand.
 *
 * @module
 */

import Fastify from "fastify";
import { HEADERS } from "../src/model/index.ts";

/** Faults that a test can inject into a running stand-in. */
export interface PlainFault {
  /**
   * Closes the connection before the answer, or in the middle of it, or resets it in the
   * middle of an answer that has neither a length nor chunks.
   */
  cut?: "before" | "within" | "unframed";
  /** Status code of all answers. */
  status?: number;
  /** Rejects requests and marks them as not run. */
  saysNotRun?: boolean;
  /** Value of `Retry-After` in answers, in seconds. */
  restS?: number;
  /** Announced rate limit, in requests per second for all entries together. */
  limitPerS?: number;
  /** Omits the limit from answers that mark a request as not run. */
  hidesLimitWhenNotRun?: boolean;
  /** Delay of each answer, in ms. */
  delayMs?: number;
  /** Leaves requests unanswered. */
  frozen?: boolean;
}

/** A running stand-in. */
export interface PlainService extends AsyncDisposable {
  readonly address: string;
  readonly fault: PlainFault;
  /** Returns the number of requests that reached it, run or not. */
  countArrivals(): number;
  /** Returns how often requests of a path ran. */
  getRuns(path: string): number;
}

/** Starts a stand-in for a plain service. */
export async function startPlainService(
  options: { port?: number; name?: string } = {},
): Promise<PlainService> {
  const { port = 0, name = "plain" } = options;
  const runs = new Map<string, number>();
  let arrivalCount = 0;
  const fault: PlainFault = {};
  const server = Fastify({ forceCloseConnections: true });
  server.addContentTypeParser(
    "*",
    { parseAs: "string" },
    (_request, body, done) => done(null, body),
  );
  server.all("/*", async (request, reply) => {
    arrivalCount += 1;
    if (fault.restS !== undefined) reply.header("retry-after", fault.restS);
    const hidesLimit = fault.saysNotRun && fault.hidesLimitWhenNotRun;
    if (fault.limitPerS !== undefined && !hidesLimit) {
      reply.header(HEADERS.rateLimit, fault.limitPerS);
    }
    if (fault.saysNotRun) {
      return reply.code(503).header("crowlever-outcome", "not_run").send(
        "busy",
      );
    }
    if (fault.frozen) return await new Promise(() => {});
    const count = (runs.get(request.url) ?? 0) + 1;
    runs.set(request.url, count);
    if (fault.delayMs) {
      await new Promise((resolve) => setTimeout(resolve, fault.delayMs));
    }
    if (fault.cut === "before") {
      request.raw.socket.destroy();
      return await new Promise(() => {});
    }
    if (fault.cut === "within") {
      reply.hijack();
      reply.raw.writeHead(200, { "content-length": "100" });
      reply.raw.write("half");
      setTimeout(() => request.raw.socket.destroy(), 5);
      return;
    }
    if (fault.cut === "unframed") {
      const { socket } = request.raw;
      reply.hijack();
      socket.write("HTTP/1.1 200 OK\r\n\r\nhalf");
      setTimeout(() => socket.resetAndDestroy(), 5);
      return;
    }
    return reply.code(fault.status ?? 200).send({
      service: name,
      path: request.url,
      run: count,
      body: request.body ?? null,
    });
  });
  await server.listen({ host: "127.0.0.1", port });
  const { port: boundPort } = server.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${boundPort}`,
    fault,
    countArrivals: () => arrivalCount,
    getRuns: (path) => runs.get(path) ?? 0,
    [Symbol.asyncDispose]: () => server.close(),
  };
}
