import { Server } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { bindGrpc, wire } from "../wire/index.ts";
import { createLeaderClient } from "./create_leader_client.ts";

test("a reply of the leader that is not one of its replies is unavailable and does not end the process", async () => {
  const replies = ["{", "null", "7", '{"type":"done"}'];
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const server = new Server();
  server.addService(wire.FleetService, {
    session: () => {},
    call(
      _call: unknown,
      done: (error: null, reply: wire.FleetReply) => void,
    ) {
      done(null, { json: replies.shift() ?? "" });
    },
  });
  await bindGrpc(server, { address });
  const types: string[] = [];
  {
    await using client = createLeaderClient();
    for (let at = 0; at < 4; at++) {
      types.push((await client.call(address, { type: "readConfig" })).type);
    }
  }
  assert.equal(types, ["unavailable", "unavailable", "unavailable", "done"]);
  server.forceShutdown();
});

test.run();
