import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import Fastify from "fastify";
import { test } from "uvu";
import { until } from "../../demo/until.ts";
import { closeServer } from "./close_server.ts";

test("a connection without a request doesn't delay the shutdown of a server", async () => {
  const server = Fastify();
  await server.listen({ host: "127.0.0.1", port: 0 });
  const { port } = server.server.address() as AddressInfo;
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => {});
  await once(socket, "connect");
  let hasEnded = false;
  void closeServer(server).then(() => {
    hasEnded = true;
  });
  try {
    await until("the server is closed", () => hasEnded);
  } finally {
    // An open socket would keep the test process running.
    socket.destroy();
  }
});

test.run();
