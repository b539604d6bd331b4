/**
 * A gateway that can be cut off from upstreams while callers, control processes and
 * other gateways still reach it.
 *
 * @module
 */

import { Worker } from "node:worker_threads";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { until } from "../../demo/until.ts";
import type { LayerEngine } from "../../standins/index.ts";
import type { TestFleet } from "./fleet.ts";
import type {
  WorkerCommand,
  WorkerReport,
} from "./partitioned_gateway_worker.ts";
import type { PartitionKind } from "./upstream_partition.ts";

/** A line that the gateway logged. */
export interface LoggedLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A gateway that can be cut off from upstreams. */
export interface PartitionedGateway extends AsyncDisposable {
  readonly address: string;
  readonly vm: string;
  readonly lines: readonly LoggedLine[];
  isReady(): boolean;
  /** Addresses that it gives to callers of its data centre. */
  listAddresses(): readonly string[];
  /** Cuts it off from upstreams; from all of the fleet by default. */
  cut(kind: PartitionKind, upstreams?: readonly LayerEngine[]): void;
  heal(): void;
  /** Ends it abruptly. */
  kill(): Promise<void>;
}

const WORKER = new URL("./partitioned_gateway_worker.js", import.meta.url);

let nextNumber = 0;

function getPort({ address }: LayerEngine): number {
  return Number(address.split(":")[1]);
}

/** Adds such a gateway to a fleet, and resolves once it is ready. */
export async function startPartitionedGateway(
  fleet: TestFleet,
  options: { place?: string } = {},
): Promise<PartitionedGateway> {
  const { place = "p1" } = options;
  nextNumber += 1;
  const vm = `partitioned-${nextNumber}`;
  const [port] = await findFreePorts(1);
  const listUpstreams = () => [...fleet.engines, ...fleet.plain];
  const worker = new Worker(WORKER, {
    workerData: {
      vm,
      place,
      port,
      seedAddresses: fleet.controls.map(({ peerAddress }) => peerAddress),
      upstreamPorts: listUpstreams().map(getPort),
    },
  });
  const lines: LoggedLine[] = [];
  let isKilled = false;
  let state = { isReady: false, addresses: [] as readonly string[] };
  const stopped = new Promise<void>((resolve, reject) => {
    worker.on("error", reject);
    worker.on("message", (report: WorkerReport) => {
      if (report.type === "state") state = report;
      if (report.type === "logged") lines.push(report);
      if (report.type === "stopped") resolve();
    });
  });
  const send = (command: WorkerCommand) => worker.postMessage(command);
  await until("the gateway is ready", () => state.isReady);
  return {
    address: `127.0.0.1:${port}`,
    vm,
    lines,
    isReady: () => state.isReady,
    listAddresses: () => state.addresses,
    cut: (kind, upstreams = listUpstreams()) =>
      send({
        type: "cut",
        partition: { kind, ports: upstreams.map(getPort) },
      }),
    heal: () => send({ type: "heal" }),
    async kill() {
      isKilled = true;
      await worker.terminate();
    },
    async [Symbol.asyncDispose]() {
      if (isKilled) return;
      send({ type: "stop" });
      await stopped;
      await worker.terminate();
    },
  };
}
