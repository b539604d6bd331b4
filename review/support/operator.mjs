/**
 * A stand-in for the operator: it sends configurations and reads them back.
 *
 * @module
 */

import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Time after which the operator moves on to another node. */
const CALL_TIMEOUT_MS = 1_000;

/** Pause before the next node is tried. */
const BACK_OFF_MS = 150;

/** Sends one call; resolves with the status, 0 where there is no answer. */
export function call(address, { method, path, body }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        timeout: CALL_TIMEOUT_MS,
        headers: body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": String(new TextEncoder().encode(body).length),
        },
      },
      (answer) => {
        const chunks = [];
        answer.on("data", (chunk) => chunks.push(chunk));
        answer.on("error", () => resolve({ status: 0, text: "" }));
        answer.on("end", () => {
          const text = chunks.map(String).join("");
          resolve({ status: answer.statusCode, text });
        });
      },
    );
    sent.on("timeout", () => sent.destroy(new Error("no answer")));
    sent.on("error", () => resolve({ status: 0, text: "" }));
    sent.end(body);
  });
}

/** Makes a configuration with one service and one route. */
export function makeConfig(version) {
  return {
    version,
    routes: [{
      name: "r-readings",
      host: "dash.example",
      pathPrefix: "/readings/",
      routeType: "unsafe",
      timeoutMs: 1_500,
      targetLatencyMs: 300,
      priority: 2,
      service: "dash",
      maxAttempts: 1,
      anonymous: false,
    }],
    services: [{
      name: "dash",
      healthPath: "/health",
      maxConns: 130,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "tenant-1", apiKeys: ["key-1"], priority: 1 }],
  };
}

/**
 * Sends a configuration to one node after the other until one acknowledges it.
 *
 * @returns The node that acknowledged it; undefined if none did in time.
 */
export async function putConfig(deployment, nodes, { version, limitMs }) {
  const { record } = deployment;
  const body = JSON.stringify(makeConfig(version));
  const endMs = performance.now() + limitMs;
  for (let at = 0; performance.now() < endMs; at++) {
    const node = nodes[at % nodes.length];
    const path = "/api/config/put";
    const { status } = await call(node.control, { method: "POST", path, body });
    record(`operator: version ${version} to ${node.name}: ${status || "none"}`);
    if (status === 200) return node;
    await sleep(BACK_OFF_MS);
  }
}

/**
 * Asks all nodes for the configuration until one answers or the time is over.
 *
 * @returns The version that was read back; undefined if none was.
 */
export async function readConfig(deployment, nodes, { limitMs }) {
  const { record } = deployment;
  const endMs = performance.now() + limitMs;
  const failures = new Map();
  while (performance.now() < endMs) {
    for (const node of nodes) {
      const path = "/api/config/get";
      const { status, text } = await call(node.control, {
        method: "GET",
        path,
      });
      if (status === 200) {
        const { version } = JSON.parse(text);
        record(`operator: ${node.name} reads back version ${version}`);
        return version;
      }
      const answer = `${node.name} ${status || "none"}`;
      failures.set(answer, (failures.get(answer) ?? 0) + 1);
    }
    await sleep(BACK_OFF_MS);
  }
  const counts = [...failures].map(([answer, count]) => `${answer} x ${count}`);
  record(`operator: nothing was read back: ${counts.join(", ")}`);
}
