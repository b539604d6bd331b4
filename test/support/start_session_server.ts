/**
 * A control process as gateways see it: it takes sessions and answers as the test
 * says.
 *
 * @module
 */

import { Server, type ServerDuplexStream } from "@grpc/grpc-js";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import {
  createEngineNumbers,
  formatLeaderMessage,
  type GatewayMessage,
  type LeaderMessage,
  parseGatewayMessage,
} from "../../src/fleet/index.ts";
import { bindGrpc, wire } from "../../src/wire/index.ts";

type SessionStream = ServerDuplexStream<wire.FleetMessage, wire.FleetMessage>;

/** Tells the gateway of one session something. */
export type Tell = (message: LeaderMessage) => void;

/** A control process that takes sessions. */
export interface SessionServer extends AsyncDisposable {
  readonly address: string;
  /** Versions in the hellos that came. */
  readonly hellos: readonly number[];
  /** Sessions that are open. */
  getOpen(): number;
}

/** The first message to a gateway that is taken in. */
export const WELCOME: LeaderMessage = {
  type: "welcome",
  controlAddresses: [],
  cases: [],
  limits: [],
};

/** Starts a control process that answers each message of a gateway as it is told. */
export async function startSessionServer(
  answer: (message: GatewayMessage, tell: Tell) => void,
): Promise<SessionServer> {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const numbers = createEngineNumbers();
  const hellos: number[] = [];
  let open = 0;
  const server = new Server();
  server.addService(wire.FleetService, {
    session(stream: SessionStream) {
      open += 1;
      stream.on("close", () => open -= 1);
      stream.on("data", (received: wire.FleetMessage) => {
        const message = parseGatewayMessage(received, numbers);
        if (message.type === "hello") hellos.push(message.version);
        answer(
          message,
          (told) => void stream.write(formatLeaderMessage(told, numbers)),
        );
      });
      stream.on("error", () => {});
      stream.on("end", () => stream.end());
    },
    call: () => {},
  });
  await bindGrpc(server, { address });
  return {
    address,
    hellos,
    getOpen: () => open,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}
