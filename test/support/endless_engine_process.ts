/**
 * Runs an engine in a process of its own that answers each request with bytes without
 * end, over raw sockets.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { ENGINE_CALL, HEADER } from "../../platform/names.ts";
import { sendHeartbeat } from "../../standins/send_beat.ts";
import { ENDLESS_ANSWERS, type EndlessKind } from "./endless_answers.ts";
import { sendEndlessAnswer } from "./send_endless_answer.ts";

/** Options of the process, as JSON in its first argument. */
export interface EndlessEngineOptions {
  readonly service: string;
  readonly engineId: string;
  readonly place: string;
  readonly controlAddresses: readonly string[];
  /** What it answers requests with. */
  readonly answer: EndlessKind;
  /** What it answers status reports with; by default it reports nothing. */
  readonly report?: EndlessKind;
}

const HEARTBEAT_PERIOD_MS = 200;

const options: EndlessEngineOptions = JSON.parse(process.argv[2]);
const bornMs = Date.now();
let sequence = 0;
let requestCount = 0;

const FIELD = new RegExp(`^${HEADER.requestId}: *(.*)\\r$`, "im");

function handleRequest(socket: Socket, head: string): void {
  const [, target = ""] = head.split(" ", 2);
  if (target === ENGINE_CALL.report && options.report) {
    return sendEndlessAnswer(socket, ENDLESS_ANSWERS[options.report](""));
  }
  if (target === ENGINE_CALL.report || target === ENGINE_CALL.order) {
    const body = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    return void socket.write(body);
  }
  requestCount += 1;
  process.send?.({ type: "requests", count: requestCount });
  const requestId = FIELD.exec(head)?.[1] ?? "";
  sendEndlessAnswer(socket, ENDLESS_ANSWERS[options.answer](requestId));
}

const server = createServer((socket) => {
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => {
    const text = chunk.toString("latin1");
    if (text.includes(" HTTP/1.1\r\n")) handleRequest(socket, text);
  });
});
await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
const { port } = server.address() as AddressInfo;
process.on("disconnect", () => process.exit());
process.send?.({ type: "started" });

const { service, engineId, place, controlAddresses } = options;
for (;;) {
  sequence += 1;
  const body = {
    service,
    address: `127.0.0.1:${port}`,
    zone: place,
    version: "v1",
    slots: 8,
    state: "ready",
    coldLeftMs: 0,
    seq: sequence,
    born: bornMs,
  };
  await sendHeartbeat({ engineId, body, controlAddresses });
  await sleep(HEARTBEAT_PERIOD_MS);
}
