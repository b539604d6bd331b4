/**
 * Worker thread that runs one gateway whose connections to upstreams can be cut.
 *
 * @module
 */

import { parentPort, workerData } from "node:worker_threads";
import {
  interceptConnections,
  type Partition,
  type PartitionControl,
} from "./upstream_partition.ts";

/** What the thread is started with. */
export interface WorkerInput {
  readonly vm: string;
  readonly place: string;
  readonly port: number;
  readonly seedAddresses: readonly string[];
  /** Ports of all upstreams. */
  readonly upstreamPorts: readonly number[];
}

/** A command to the thread. */
export type WorkerCommand =
  | { readonly type: "cut"; readonly partition: Partition }
  | { readonly type: "heal" }
  | { readonly type: "stop" };

/** What the thread reports. */
export type WorkerReport =
  | {
    readonly type: "state";
    readonly isReady: boolean;
    readonly addresses: readonly string[];
  }
  | {
    readonly type: "logged";
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }
  | { readonly type: "stopped" };

const REPORT_INTERVAL_MS = 25;

function report(message: WorkerReport): void {
  parentPort?.postMessage(message);
}

async function run(input: WorkerInput): Promise<void> {
  const control = await interceptConnections(input.upstreamPorts);
  // Loaded after the connections are intercepted, so that libraries use those.
  const [
    { startGateway },
    { callerCodec },
    { createEngineCalls },
    config,
    metrics,
  ] = await Promise.all([
    import("../../src/gateway/index.ts"),
    import("../../platform/codec.ts"),
    import("../../platform/engine_calls.ts"),
    import("../../platform/decode_config.ts"),
    import("../../src/metrics/index.ts"),
  ]);
  const { vm, place, port } = input;
  const gateway = await startGateway({
    vm,
    place,
    listen: { host: "127.0.0.1", port },
    revokeMs: 5_000,
    retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
    graceMs: 500,
  }, {
    codec: callerCodec,
    engineControl: createEngineCalls().engineControl,
    decodeConfig: config.decodeConfig,
    getSeedAddresses: () => input.seedAddresses,
    log: (event, fields = {}) =>
      report({
        type: "logged",
        event,
        fields: JSON.parse(JSON.stringify(fields)),
      }),
    metrics: metrics.createMetrics(),
  });
  const timer = setInterval(
    () =>
      report({
        type: "state",
        isReady: gateway.isReady(),
        addresses: gateway.listAddresses(place),
      }),
    REPORT_INTERVAL_MS,
  );
  parentPort?.on("message", (command: WorkerCommand) => {
    if (command.type !== "stop") return apply(command, control);
    clearInterval(timer);
    void gateway.stop().then(() => report({ type: "stopped" }));
  });
}

function apply(
  command: Exclude<WorkerCommand, { type: "stop" }>,
  control: PartitionControl,
): void {
  if (command.type === "cut") control.begin(command.partition);
  else control.end();
}

await run(workerData as WorkerInput);
