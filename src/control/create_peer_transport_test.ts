import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { QuorumMessage } from "../quorum/index.ts";
import { createPeerTransport } from "./create_peer_transport.ts";

const MESSAGE: QuorumMessage = {
  from: "a",
  to: "b",
  term: 1,
  body: { type: "timeoutNow" },
};

/** Wait after which a closed stream would have been reopened, in ms. */
const REOPEN_WAIT_MS = 200;

test("a message sent after disposal is dropped and does not throw", async () => {
  const sockets: Socket[] = [];
  const peer = createServer((socket) => void sockets.push(socket))
    .listen(0, "127.0.0.1");
  await once(peer, "listening");
  const { port } = peer.address() as AddressInfo;
  const transport = createPeerTransport({
    getClusterId: () => "c",
    getSelfId: () => "a",
    getAddress: () => `127.0.0.1:${port}`,
    getTerm: () => 1,
    deliver: () => {},
    readSnapshot: () => Promise.resolve(undefined),
    now: () => performance.now(),
    log: () => {},
  });
  transport.send(MESSAGE);
  await sleep(REOPEN_WAIT_MS);
  await transport[Symbol.asyncDispose]();
  // A replica is stopped after its transport, so it still sends heartbeats.
  await sleep(REOPEN_WAIT_MS);
  assert.not.throws(() => transport.send(MESSAGE));
  for (const socket of sockets) socket.destroy();
  peer.close();
});

test.run();
