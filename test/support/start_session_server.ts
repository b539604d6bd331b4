/**
 * A stand-in for a control process: accepts sessions of gateways and answers as the
 * test specifies.
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

/** Sends a message to the gateway of one session. */
export type SendMessage = (message: LeaderMessage) => void;

/** A stand-in for a control process that accepts sessions. */
export interface SessionServer extends AsyncDisposable {
  readonly address: string;
  /** Versions in the hello messages received. */
  readonly hellos: readonly number[];
  /** Returns the number of open sessions. */
  getOpenCount(): number;
}

/** The first message to a gateway whose session is accepted. */
export const WELCOME: LeaderMessage = {
  type: "welcome",
  controlAddresses: [],
  cases: [],
  limits: [],
};

/** Starts a stand-in that calls `answer` for each message of a gateway. */
export async function startSessionServer(
  answer: (message: GatewayMessage, send: SendMessage) => void,
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
          (reply) => void stream.write(formatLeaderMessage(reply, numbers)),
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
    getOpenCount: () => open,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}
