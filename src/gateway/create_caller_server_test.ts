import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { closeServer } from "../http/index.ts";
import {
  createCallerServer,
  listenForCallers,
} from "./create_caller_server.ts";

const HOST = "127.0.0.1";

const IDLE_TIMEOUT_MS = 200;

/** Longer than the idle timeout, to which the runtime adds up to 1 s. */
const STALL_MS = IDLE_TIMEOUT_MS + 1_500;

const REQUEST = "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\n\r\n";

async function openServer() {
  const server = createCallerServer(({ response }) =>
    void response.writeHead(200, { "content-length": 2 }).end("ok")
  );
  await listenForCallers(server, { host: HOST, port: 0 });
  server.server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  const { port } = server.server.address() as AddressInfo;
  const socket = connect({ host: HOST, port });
  socket.on("error", () => {});
  await once(socket, "connect");
  return { socket, close: () => closeServer(server, { graceMs: 0 }) };
}

/** Resolves with an answer, or with an empty text if the connection is closed. */
async function ask(socket: Socket, afterSent = () => {}): Promise<string> {
  const answered = once(socket, "data").then(([data]) => String(data));
  const closed = once(socket, "close").then(() => "");
  socket.write(REQUEST);
  afterSent();
  return await Promise.race([answered, closed]);
}

function blockEventLoop(blockedMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockedMs);
}

test("a request isn't lost that arrives while the process stalls beyond the idle timeout", async () => {
  const { socket, close } = await openServer();
  assert.match(await ask(socket), "200 OK");
  const answer = await ask(socket, () => blockEventLoop(STALL_MS));
  assert.match(answer, "200 OK");
  socket.destroy();
  await close();
});

test("an idle connection is closed", async () => {
  const { socket, close } = await openServer();
  assert.match(await ask(socket), "200 OK");
  await once(socket, "close");
  await close();
});

test.run();
