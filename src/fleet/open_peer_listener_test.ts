/** Guards against a control process that doesn't end while a peer is suspended. */

import { once } from "node:events";
import { connect as connectHttp2 } from "node:http2";
import { connect } from "node:net";
import { Server } from "@grpc/grpc-js";
import { test } from "uvu";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { createServerCredentials } from "../wire/index.ts";
import { openPeerListener } from "./open_peer_listener.ts";

async function openTrial() {
  const [port] = await findFreePorts(1);
  const listener = await openPeerListener(`127.0.0.1:${port}`);
  const server = new Server();
  const injector = server.createConnectionInjector(createServerCredentials());
  listener.setHandler((socket) => injector.injectConnection(socket));
  return { port, listener, server };
}

test("the listener closes beside a connection that its peer keeps open", async () => {
  const { port, listener, server } = await openTrial();
  // Nothing is read, and the end of the other side is not answered.
  const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
  socket.on("error", () => {});
  await once(socket, "connect");
  const session = connectHttp2(`http://127.0.0.1:${port}`);
  session.on("error", () => {});
  await once(session, "remoteSettings");
  server.forceShutdown();
  await listener[Symbol.asyncDispose]();
  socket.destroy();
  session.destroy();
});

test.run();
