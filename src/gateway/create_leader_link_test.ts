import { Buffer } from "node:buffer";
import { Server, type ServerDuplexStream } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { until } from "../../demo/until.ts";
import { openLink } from "../../test/support/open_link.ts";
import {
  startSessionServer,
  WELCOME,
} from "../../test/support/start_session_server.ts";
import { bindGrpc, wire } from "../wire/index.ts";

type SessionStream = ServerDuplexStream<wire.FleetMessage, wire.FleetMessage>;

const EMPTY: wire.FleetMessage = {
  json: "",
  packed: Buffer.alloc(0),
  engineNumbers: [],
  loads: undefined,
};

const WELCOME_MESSAGE = { ...EMPTY, json: JSON.stringify(WELCOME) };

/** Messages after the welcome, by what is wrong with them. */
const MESSAGES: Readonly<Record<string, wire.FleetMessage>> = {
  "is not JSON": { ...EMPTY, json: "{" },
  "is null": { ...EMPTY, json: "null" },
  "can't be unpacked": { ...EMPTY, packed: Buffer.from("none") },
  "lists no engines": { ...EMPTY, json: '{"type":"engines"}' },
};

for (const [name, message] of Object.entries(MESSAGES)) {
  test(`a gateway whose leader sends a message that ${name} opens another session`, async () => {
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const server = new Server();
    let sessions = 0;
    server.addService(wire.FleetService, {
      session(stream: SessionStream) {
        sessions += 1;
        const isFirst = sessions === 1;
        stream.on("error", () => {});
        stream.on("end", () => stream.end());
        stream.once("data", () => {
          stream.write(WELCOME_MESSAGE);
          if (isFirst) stream.write(message);
        });
        stream.resume();
      },
      call: () => {},
    });
    await bindGrpc(server, { address });
    const events: string[] = [];
    {
      await using _link = openLink({
        getSeedAddresses: () => [address],
        log: (event) => void events.push(event),
      });
      const countConnected = () =>
        events.filter((event) => event === "controlConnected").length;
      await until("it is welcomed again", () => countConnected() === 2);
    }
    assert.is(events.filter((event) => event === "messageFailed").length, 1);
    server.forceShutdown();
  });
}

test("a gateway that is redirected to an address that is none goes on searching", async () => {
  const answers = ["", "\n", "a\nb:1"];
  await using server = await startSessionServer((message, send) => {
    if (message.type !== "hello") return;
    const address = answers.shift();
    send(address === undefined ? WELCOME : { type: "redirect", address });
  });
  const events: string[] = [];
  await using _link = openLink({
    getSeedAddresses: () => [server.address],
    log: (event) => void events.push(event),
  });
  await until("it is welcomed", () => events.includes("controlConnected"));
});

test.run();
