import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { closeCallerServer } from "./close_caller_server.ts";
import {
  createCallerServer,
  type EarlyListener,
  listenForCallers,
} from "./create_caller_server.ts";

const REQUEST = [
  "POST /safe/1 HTTP/1.1",
  "host: a.example",
  "content-length: 5",
  "",
  "hello",
].join("\r\n");

const HOST = "127.0.0.1";

interface OpenServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/** Starts a server that answers each request after a while. */
async function openServer(
  options: { readonly hasEarlyListener: boolean; readonly answerMs?: number },
): Promise<OpenServer> {
  let inFlight = 0;
  const server = createCallerServer(async ({ response }) => {
    inFlight += 1;
    await sleep(options.answerMs ?? 0);
    response.writeHead(503, { connection: "close" }).end("refused");
    inFlight -= 1;
  });
  const early = options.hasEarlyListener ? await openListener() : undefined;
  const earlyListener = early?.listener;
  await listenForCallers(server, { host: HOST, port: 0, earlyListener });
  const { port } = (early?.server ?? server.server).address() as AddressInfo;
  const close = () =>
    closeCallerServer(server, {
      earlyListener,
      getInFlight: () => inFlight,
      getLeftMs: () => 5_000,
    });
  return { port, close };
}

/** Opens a listener as the launcher does, before the server is there. */
async function openListener(): Promise<
  { readonly server: Server; readonly listener: EarlyListener }
> {
  let onConnection: (socket: Socket) => void = () => {};
  const server = createServer(
    { pauseOnConnect: true },
    (socket) => onConnection(socket),
  );
  server.listen({ host: HOST, port: 0 });
  await once(server, "listening");
  const listener = {
    take: (take: (socket: Socket) => void) => void (onConnection = take),
    close: () => void server.close(),
  };
  return { server, listener };
}

async function open(port: number): Promise<Socket> {
  const socket = connect({ host: HOST, port });
  await once(socket, "connect");
  socket.on("error", () => {});
  return socket;
}

/** Reads until the server closes the connection. */
async function readAll(socket: Socket): Promise<string> {
  let text = "";
  socket.on("data", (data) => text += String(data));
  if (!socket.closed) await once(socket, "close");
  return text;
}

for (const hasEarlyListener of [false, true]) {
  const name = hasEarlyListener ? "an early listener" : "its own listener";

  test(`a request on a new connection isn't lost in a planned stop of a server with ${name}`, async () => {
    const { port, close } = await openServer({ hasEarlyListener });
    const socket = await open(port);
    await sleep(20);
    const answer = readAll(socket);
    const closed = close();
    socket.write(REQUEST);
    assert.match(await answer, "HTTP/1.1 503");
    await closed;
  });

  test(`a request that is being answered isn't lost in a planned stop of a server with ${name}`, async () => {
    const options = { hasEarlyListener, answerMs: 400 };
    const { port, close } = await openServer(options);
    const socket = await open(port);
    const answer = readAll(socket);
    socket.write(REQUEST);
    await sleep(20);
    const closed = close();
    assert.match(await answer, "refused");
    await closed;
  });

  test(`a connection isn't accepted and then dropped by a stopped server with ${name}`, async () => {
    const { port, close } = await openServer({ hasEarlyListener });
    await close();
    const error = await open(port).then(
      (socket) => void socket.destroy(),
      ({ code }: NodeJS.ErrnoException) => code,
    );
    assert.is(error, "ECONNREFUSED");
  });
}

test("an idle connection doesn't delay a planned stop", async () => {
  const { port, close } = await openServer({ hasEarlyListener: false });
  const socket = await open(port);
  const ended = readAll(socket);
  await close();
  assert.is(await ended, "");
});

test.run();
