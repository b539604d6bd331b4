/**
 * Stand-ins for plain upstreams, which register themselves and serve requests, and for a
 * caller.
 *
 * @module
 */

import { createServer, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./operator.mjs";

const HEARTBEAT_MS = 1_200;

const WORK_MS = 20;

const CALL_INTERVAL_MS = 250;

/** Time after which the caller gives a request up. */
const DEADLINE_MS = 3_000;

/**
 * Starts an upstream of the service `dash`. It sends heartbeats to the address that it
 * was last told, and to the other control nodes after a failure.
 *
 * @returns Its id, the leader that it was last told, and how to stop it.
 */
export async function startUpstream(deployment, { at, zone, listControls }) {
  const { ports, record, network } = deployment;
  const id = `i-dash-${at}`;
  const address = `${network}.${100 + at}:${ports.engine}`;
  const server = createServer((message, response) => {
    message.resume();
    message.on("end", async () => {
      const attemptId = message.headers["x-attempt-id"] ?? "";
      const expected = message.headers["x-expect-instance"];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { "x-attempt-id": attemptId }).end();
        return;
      }
      runs += 1;
      await sleep(WORK_MS);
      response.writeHead(200, {
        "x-attempt-id": attemptId,
        "x-server-seal": `${id}.${attemptId}`,
      }).end("reading");
    });
  });
  const [host, port] = address.split(":");
  await new Promise((resolve) => server.listen({ host, port }, resolve));
  let beatAddress = "";
  let sequence = 0;
  let runs = 0;
  let isStopped = false;

  async function beat() {
    sequence += 1;
    const body = JSON.stringify({
      service: "dash",
      address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      coldLeftMs: 0,
      seq: sequence,
    });
    const path = `/api/instances/${id}/heartbeat`;
    const targets = [beatAddress, ...listControls()].filter(Boolean);
    for (const target of targets) {
      const { status, text } = await call(target, {
        method: "POST",
        path,
        body,
      });
      if (status === 200) {
        beatAddress = JSON.parse(text).beatAddr ?? "";
        return;
      }
    }
  }

  async function run() {
    while (!isStopped) {
      const next = sleep(HEARTBEAT_MS);
      await beat();
      await next;
    }
  }

  void run();
  record(`${id}: serves at ${address}`);
  return {
    id,
    getLeaderAddress: () => beatAddress,
    /** Returns and clears the number of requests that it ran. */
    takeRuns() {
      const taken = runs;
      runs = 0;
      return taken;
    },
    stop() {
      isStopped = true;
      server.close();
      server.closeAllConnections();
    },
  };
}

function sendRequest(address, attemptId) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = request(
      {
        host,
        port,
        method: "POST",
        path: "/readings/1",
        agent: false,
        timeout: DEADLINE_MS,
        headers: {
          host: "dash.example",
          "x-attempt-id": attemptId,
          "x-api-key": "key-1",
          "x-deadline-ms": String(DEADLINE_MS),
          "content-length": "0",
        },
      },
      (answer) => {
        answer.resume();
        answer.on("error", () => resolve(0));
        answer.on("end", () => resolve(answer.statusCode));
      },
    );
    sent.on("timeout", () => sent.destroy(new Error("given up")));
    sent.on("error", () => resolve(0));
    sent.end();
  });
}

/**
 * Starts a caller that sends four requests a second to an entry.
 *
 * @returns How to count what was sent and served since the last count.
 */
export function startCaller(deployment, { entry, upstreams }) {
  let sent = 0;
  let noted = 0;
  let counts = new Map();
  const timer = setInterval(async () => {
    sent += 1;
    const status = await sendRequest(entry.front, `attempt-${sent}`);
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }, CALL_INTERVAL_MS);
  return {
    /** Writes the answers since the last call to the record. */
    note(when) {
      const answers = [...counts].map(([status, count]) =>
        `${status || "none"} x ${count}`
      );
      counts = new Map();
      const runs = upstreams.map((one) => `${one.id} ${one.takeRuns()}`);
      deployment.record(
        `caller: ${when}: ${sent - noted} sent; answers: ${
          answers.join(", ")
        }; runs: ${runs.join(", ")}`,
      );
      noted = sent;
    },
    stop: () => clearInterval(timer),
  };
}
