/**
 * Bytes that an upstream sends in place of an answer, without end.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { HEADER } from "../../platform/names.ts";

/** An answer without end: how it begins, and what is repeated until it is closed. */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: Buffer;
  /** Ms between two repetitions; by default they are sent as fast as they are read. */
  readonly intervalMs?: number;
}

const MIN_BLOCK_BYTES = 65_536;

/** Ms between two bytes that drip. */
const DRIP_INTERVAL_MS = 20;

function repeat(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(MIN_BLOCK_BYTES / text.length)));
}

function makeHead(
  requestId: string,
  { status = "200 OK", fields = [] }: {
    status?: string;
    fields?: readonly string[];
  } = {},
): string {
  return [
    `HTTP/1.1 ${status}`,
    `${HEADER.requestId}: ${requestId}`,
    `${HEADER.signature}: s`,
    ...fields,
    "",
    "",
  ].join("\r\n");
}

const CHUNKED = "transfer-encoding: chunked";

const CHUNK_BYTES = 16_384;

const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`;

function frame(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The first event of a sound answer. */
const FIRST_EVENT = "id: 1\ndata: token 1\n\n";

/** Makes each kind of answer for a request. */
export const ENDLESS_ANSWERS = {
  randomBytes: () => ({ start: "", repeated: randomBytes(MIN_BLOCK_BYTES) }),
  line: () => ({ start: "", repeated: repeat("x") }),
  headerLine: () => ({
    start: "HTTP/1.1 200 OK\r\nx: ",
    repeated: repeat("x"),
  }),
  headerLines: () => ({
    start: "HTTP/1.1 200 OK\r\n",
    repeated: repeat("x: y\r\n"),
  }),
  continues: () => ({
    start: "",
    repeated: repeat("HTTP/1.1 100 Continue\r\n\r\n"),
  }),
  earlyHints: () => ({
    start: "",
    repeated: repeat("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
  }),
  trailer: (id) => ({
    start: `${makeHead(id, { fields: [CHUNKED] })}0\r\n`,
    repeated: repeat("x: y\r\n"),
  }),
  chunkedBody: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: Buffer.from(CHUNK),
  }),
  tinyChunks: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: repeat("1\r\nx\r\n"),
  }),
  unframedBody: (id) => ({ start: makeHead(id), repeated: repeat("x") }),
  longBody: (id) => ({
    start: makeHead(id, { fields: ["content-length: 100000000000"] }),
    repeated: repeat("x"),
  }),
  rejection: (id) => ({
    start: makeHead(id, {
      status: "503 Service Unavailable",
      fields: [CHUNKED, `${HEADER.notRun}: 1`],
    }),
    repeated: Buffer.from(CHUNK),
  }),
  failure: (id) => ({
    start: makeHead(id, {
      status: "500 Internal Server Error",
      fields: [CHUNKED],
    }),
    repeated: Buffer.from(CHUNK),
  }),
  chunkExtension: (id) => ({
    start: `${makeHead(id, { fields: [CHUNKED] })}1;x=`,
    repeated: repeat("x"),
  }),
  headerDrip: () => ({
    start: "HTTP/1.1 200 OK\r\nx: ",
    repeated: Buffer.from("x"),
    intervalMs: DRIP_INTERVAL_MS,
  }),
  bodyDrip: (id) => ({
    start: makeHead(id, { fields: ["content-length: 100000"] }),
    repeated: Buffer.from("x"),
    intervalMs: DRIP_INTERVAL_MS,
  }),
  event: (id) => ({
    start: `${makeHead(id, { fields: [CHUNKED] })}${frame("id: 1\ndata: ")}`,
    repeated: Buffer.from(CHUNK),
  }),
  comments: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: repeat(frame(": x\n\n".repeat(1_000))),
  }),
  oldEvents: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: repeat(frame(FIRST_EVENT.repeat(1_000))),
  }),
  unnumberedEvents: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: repeat(frame("id: x\ndata: x\n\n".repeat(1_000))),
  }),
  unframedOldEvents: (id) => ({
    start: makeHead(id),
    repeated: repeat(FIRST_EVENT),
  }),
  commentDrip: (id) => ({
    start: makeHead(id, { fields: [CHUNKED] }),
    repeated: Buffer.from(frame(": x\n\n")),
    intervalMs: DRIP_INTERVAL_MS,
  }),
} as const satisfies Record<string, (requestId: string) => EndlessAnswer>;

/** A kind of answer without end. */
export type EndlessKind = keyof typeof ENDLESS_ANSWERS;
