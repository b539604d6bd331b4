/**
 * Writes answers to callers: whole, streamed, kept from an earlier run.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { Readable } from "node:stream";
import type { FastifyReply } from "fastify";
import { HEADERS, type Outcome } from "../model/index.ts";
import type { AnswerStream } from "./create_stream_store.ts";
import { isHopHeader } from "./hop_headers.ts";
import type { ClaimedResult } from "./run_claimed.ts";
import type { PlainAnswer } from "./run_plain_request.ts";

/**
 * Writes the answer of a plain service.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param answer - The answer; a stream is passed on as it comes.
 * @returns How it ended: the end of a stream is known only after it.
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
    if (value === undefined || isHopHeader(name)) continue;
    reply.header(name, value);
  }
  if (!Buffer.isBuffer(answer.body)) {
    return await passStream(answer.body, { answer, reply });
  }
  reply.header(HEADERS.outcome, answer.outcome);
  reply.send(answer.body);
  return answer.outcome;
}

// The end of a long answer is not known at its head: it goes in the trailer.
async function passStream(
  body: Readable,
  given: { answer: PlainAnswer; reply: FastifyReply },
): Promise<Outcome> {
  const { reply, answer } = given;
  const { raw } = reply;
  reply.hijack();
  const headers = reply.getHeaders() as Record<string, string>;
  raw.writeHead(answer.status, { ...headers, trailer: HEADERS.outcome });
  try {
    for await (const chunk of body) {
      if (!raw.write(chunk)) await drained(raw);
    }
    raw.addTrailers({ [HEADERS.outcome]: answer.outcome });
    raw.end();
    return answer.outcome;
  } catch {
    raw.destroy();
    return "unknown";
  }
}

async function drained(raw: FastifyReply["raw"]): Promise<void> {
  if (raw.destroyed) throw new Error("The caller went away");
  await Promise.race([once(raw, "drain"), once(raw, "close")]);
}

/**
 * Writes an answer that stands as a whole.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param result - The answer, and whether an earlier run gave it.
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
 * Writes a stream of events from any place on.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param from - The stream, and the number of the last event that is known.
 * @returns Nothing; it ends with the stream, or when the caller goes away.
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
  const gone = new AbortController();
  raw.once("close", () => gone.abort());
  for await (const event of stream.read(lastId, gone.signal)) {
    const { id, name, data } = event;
    const head = name === "" ? `id: ${id}\n` : `id: ${id}\nevent: ${name}\n`;
    if (name === "outcome" || name === "problem") {
      const { outcome } = JSON.parse(data) as { outcome: Outcome };
      raw.addTrailers({ [HEADERS.outcome]: outcome });
    }
    const written = raw.write(`${head}data: ${data}\n\n`);
    if (!written) await drained(raw).catch(() => gone.abort());
  }
  raw.end();
}
