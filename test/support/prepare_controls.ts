/**
 * Control processes with data folders of their own, in this process.
 *
 * @module
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { decodeConfig } from "../../platform/decode_config.ts";
import {
  type FleetControl,
  type FleetSeed,
  packDocument,
  runFleetControl,
} from "../../src/fleet/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";
import { findSeeds } from "./find_seeds.ts";
import { makeWireConfig } from "./fleet.ts";

/** Options of a control process. */
export interface ControlOptions {
  readonly seeds: readonly FleetSeed[];
  readonly voters: number;
  readonly isObserver?: boolean;
  readonly isFirstStart?: boolean;
  /** Name of its data folder; a new empty folder by default. */
  readonly folderName?: string;
  readonly upstreamHeartbeatIntervalMs?: number;
}

/** Sets up control processes below one folder; disposal stops them. */
export async function prepareControls(count: number) {
  const folder = await mkdtemp(join(tmpdir(), "members-"));
  const addresses = await findSeeds(count);
  const running = new Set<FleetControl>();
  let folderCount = 0;
  async function start(
    at: number,
    { isFirstStart = true, ...options }: ControlOptions,
  ): Promise<FleetControl> {
    folderCount += 1;
    const control = await runFleetControl({
      fleetId: "test",
      ...addresses[at],
      dataFolder: options.isObserver
        ? undefined
        : join(folder, options.folderName ?? String(folderCount)),
      isFirstStart,
      voters: options.voters,
      upstreamHeartbeatIntervalMs: options.upstreamHeartbeatIntervalMs ?? 200,
      retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
    }, {
      getSeeds: () => options.seeds,
      decodeConfig,
      sendLayerOrder: () => Promise.resolve("begun"),
      readPace: () => Promise.resolve(1),
      log: () => {},
      metrics: createMetrics(),
      onFatal: (error) => {
        throw error;
      },
    });
    running.add(control);
    return control;
  }
  async function stop(control: FleetControl): Promise<void> {
    running.delete(control);
    await control.stop();
  }
  return {
    /** Folder with the data folders. */
    folder,
    addresses,
    start,
    stop,
    async [Symbol.asyncDispose]() {
      await Promise.all([...running].map(stop));
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Starts the three processes that are each other's seeds. */
export function startSeeds(
  trial: Awaited<ReturnType<typeof prepareControls>>,
  options: ControlOptions,
): Promise<FleetControl[]> {
  return Promise.all([0, 1, 2].map((at) => trial.start(at, options)));
}

/** Sends a configuration to a process. */
export function putConfig(control: FleetControl, version: number) {
  const document = JSON.stringify(makeWireConfig(version));
  return control.call({ type: "putConfig", packed: packDocument(document) });
}

/** Lists the roles of the members that a process knows. */
export function listRoles(control: FleetControl): string[] {
  return control.getState().members.map(({ role }) => role).sort();
}

/** Lists the ids of the voters that a process knows. */
export function listVoterIds(control: FleetControl): string[] {
  return control.getState().members.filter(({ role }) => role === "voter")
    .map(({ id }) => id).sort();
}
