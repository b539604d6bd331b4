import { status } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { createClientCredentials, wire } from "../wire/index.ts";
import type { FleetReply } from "./messages.ts";
import { openPeerListener } from "./open_peer_listener.ts";
import { startFleetServer } from "./start_fleet_server.ts";

const DONE: FleetReply = { type: "done" };

const JOIN_REQUEST: wire.JoinRequest = {
  fleetId: "f",
  clusterId: "",
  replicaId: "r",
  vm: "v",
  address: "127.0.0.1:1",
  isObserver: false,
};

interface Answer {
  readonly code: number;
  readonly json: string | undefined;
}

/** Starts a server, and returns functions that call it. */
async function startServer(
  handlers: {
    handleCall?: (json: string) => Promise<FleetReply>;
    handleJoin?: () => Promise<wire.JoinResponse>;
  },
) {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const listener = await openPeerListener(address);
  const failed: unknown[] = [];
  const server = startFleetServer({
    listener,
    handleDeliver: () => {},
    handleSession: () => {},
    handleJoin: () => Promise.reject(new Error("unused")),
    handleCall: () => Promise.resolve(DONE),
    ...handlers,
    log: (event, fields) => failed.push([event, fields?.rpc]),
  });
  const fleet = new wire.FleetClient(address, createClientCredentials());
  const peers = new wire.PeerClient(address, createClientCredentials());
  return {
    failed,
    call: (json: string) =>
      new Promise<Answer>((resolve) =>
        fleet.call(
          { json },
          (error, reply) =>
            resolve({ code: error?.code ?? status.OK, json: reply?.json }),
        )
      ),
    join: () =>
      new Promise<number>((resolve) =>
        peers.join(
          JOIN_REQUEST,
          (error) => resolve(error?.code ?? status.OK),
        )
      ),
    async [Symbol.asyncDispose]() {
      fleet.close();
      peers.close();
      server[Symbol.dispose]();
      await listener[Symbol.asyncDispose]();
    },
  };
}

test("a call that is not JSON is answered with a status and does not end the process", async () => {
  await using server = await startServer({
    handleCall: async (json) => {
      await Promise.resolve();
      JSON.parse(json);
      return DONE;
    },
  });
  assert.is((await server.call("{")).code, status.INVALID_ARGUMENT);
  assert.equal(server.failed, [["rpcFailed", "call"]]);
  assert.equal(await server.call("{}"), {
    code: status.OK,
    json: JSON.stringify(DONE),
  });
});

test("a join request whose handling fails is answered with a status and does not end the process", async () => {
  await using server = await startServer({
    handleJoin: () => Promise.reject(new Error("shut down")),
  });
  assert.is(await server.join(), status.INTERNAL);
  assert.equal(server.failed, [["rpcFailed", "join"]]);
  assert.is((await server.call("{}")).code, status.OK);
});

test.run();
