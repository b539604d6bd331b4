/**
 * Writes answers to callers: buffered, streamed or replayed from an earlier run.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { Readable } from "node:stream";
import type { FastifyReply } from "fastify";
import { HEADERS, type Outcome } from "../model/index.ts";
import type { AnswerStream } from "./create_stream_store.ts";
import { isHopByHopHeader } from "./hop_headers.ts";
import type { ClaimedResult } from "./run_claimed.ts";
import type { PlainAnswer } from "./run_plain_request.ts";

/**
 * Writes the answer of a plain service.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param answer - The answer; a stream is forwarded as it arrives.
 * @returns The outcome; that of a stream is known only at its end.
 * @throws Nothing.
 * @example
 * const outcome = await writePlainAnswer(reply, answer);
 */
export async function writePlainAnswer(
  reply: FastifyReply,
  answer: PlainAnswer,
): Promise<Outcome> {
  reply.code(answer.status).header(HEADERS.path, answer.upstream);
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value === undefined || isHopByHopHeader(name)) continue;
    reply.header(name, value);
  }
  if (!Buffer.isBuffer(answer.body)) {
    return await forwardStream(answer.body, { answer, reply });
  }
  reply.header(HEADERS.outcome, answer.outcome);
  reply.send(answer.body);
  return answer.outcome;
}

// The outcome of a stream is not known when its headers are sent: it goes in the trailer.
async function forwardStream(
  body: Readable,
  params: { answer: PlainAnswer; reply: FastifyReply },
): Promise<Outcome> {
  const { reply, answer } = params;
  const { raw } = reply;
  reply.hijack();
  const headers = reply.getHeaders() as Record<string, string>;
  raw.writeHead(answer.status, { ...headers, trailer: HEADERS.outcome });
  try {
    for await (const chunk of body) {
      if (!raw.write(chunk)) await waitForDrain(raw);
    }
    raw.addTrailers({ [HEADERS.outcome]: answer.outcome });
    raw.end();
    return answer.outcome;
  } catch {
    raw.destroy();
    return "unknown";
  }
}

async function waitForDrain(raw: FastifyReply["raw"]): Promise<void> {
  if (raw.destroyed) throw new Error("The caller disconnected");
  await Promise.race([once(raw, "drain"), once(raw, "close")]);
}

/**
 * Writes a complete answer.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param result - The answer, and whether it is replayed from an earlier run.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * writeWholeAnswer(reply, { answer, replayed: false });
 */
export function writeWholeAnswer(
  reply: FastifyReply,
  result: ClaimedResult,
): void {
  const { outcome, status, contentType, body } = result.answer;
  reply.code(status === 0 ? 200 : status).header(HEADERS.outcome, outcome);
  if (contentType !== "") reply.type(contentType);
  if (result.replayed) reply.header("crowlever-replayed", "true");
  reply.send(body);
}

/**
 * Writes the events of a stream after a given position.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param from - The stream, and the id of the last event that the caller has.
 * @returns Nothing; resolves when the stream ends or the caller disconnects.
 * @throws Nothing.
 * @example
 * await writeStream(reply, { stream, lastId: 0 });
 */
export async function writeStream(
  reply: FastifyReply,
  from: { stream: AnswerStream; lastId: number },
): Promise<void> {
  const { stream, lastId } = from;
  const { raw } = reply;
  reply.hijack();
  raw.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    [HEADERS.requestId]: stream.requestId,
    trailer: HEADERS.outcome,
  });
  const disconnect = new AbortController();
  raw.once("close", () => disconnect.abort());
  for await (const event of stream.read(lastId, disconnect.signal)) {
    const { id, name, data } = event;
    const head = name === "" ? `id: ${id}\n` : `id: ${id}\nevent: ${name}\n`;
    if (name === "outcome" || name === "problem") {
      const { outcome } = JSON.parse(data) as { outcome: Outcome };
      raw.addTrailers({ [HEADERS.outcome]: outcome });
    }
    const written = raw.write(`${head}data: ${data}\n\n`);
    if (!written) await waitForDrain(raw).catch(() => disconnect.abort());
  }
  raw.end();
}
