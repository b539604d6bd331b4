/**
 * A small stand-in for a plain service: answers, counts, and fails on demand.
 *
 * @module
 */

import Fastify from "fastify";
import { HEADERS } from "../src/model/index.ts";

/** What a test may do to a running stand-in. */
export interface PlainFault {
  /** Cuts the connection: before the answer, or within it. */
  cut?: "before" | "within";
  /** Status of all answers. */
  status?: number;
  /** Says that it did not run the request. */
  saysNotRun?: boolean;
  /** Seconds of rest that it asks for when it says so. */
  restS?: number;
  /** Requests a second that it says it takes from all entries together. */
  limitPerS?: number;
  /** Names no limit where it says that it did not run the request. */
  hidesLimitWhenNotRun?: boolean;
  /** Time, in ms, before each answer. */
  delayMs?: number;
  /** Answers nothing. */
  frozen?: boolean;
}

/** A running stand-in. */
export interface PlainService extends AsyncDisposable {
  readonly address: string;
  readonly fault: PlainFault;
  /** Requests that reached it, run or not. */
  countArrivals(): number;
  /** How often each path ran. */
  getRuns(path: string): number;
}

/** Starts a stand-in plain service. */
export async function startPlainService(
  options: { port?: number; name?: string } = {},
): Promise<PlainService> {
  const { port = 0, name = "plain" } = options;
  const runs = new Map<string, number>();
  let arrived = 0;
  const fault: PlainFault = {};
  const server = Fastify({ forceCloseConnections: true });
  server.addContentTypeParser(
    "*",
    { parseAs: "string" },
    (_request, body, done) => done(null, body),
  );
  server.all("/*", async (request, reply) => {
    arrived += 1;
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
    return reply.code(fault.status ?? 200).send({
      service: name,
      path: request.url,
      run: count,
      body: request.body ?? null,
    });
  });
  await server.listen({ host: "127.0.0.1", port });
  const { port: taken } = server.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${taken}`,
    fault,
    countArrivals: () => arrived,
    getRuns: (path) => runs.get(path) ?? 0,
    [Symbol.asyncDispose]: () => server.close(),
  };
}
