/**
 * Runs a control process, also where its first start was interrupted.
 *
 * @module
 */

import type { FleetSeed } from "./open_fleet_storage.ts";
import { openPeerListener } from "./open_peer_listener.ts";
import {
  type FleetControl,
  type FleetControlSettings,
  startFleetControl,
  type StartFleetControlOptions,
} from "./start_fleet_control.ts";

/**
 * Starts a control process, unless another one listens at its address. If it finds that
 * none of its seeds has a cluster, it is started once more, as in a first start.
 *
 * Only a first start forms the cluster, so processes that end before they have stored
 * it would otherwise wait for each other.
 *
 * @param settings - The settings of the process.
 * @param options - As for {@link startFleetControl}.
 * @returns The running process.
 * @throws {StorageOwnerError | StorageDamageError} When the data folder is rejected.
 * @throws {Error} When another process listens at its address.
 * @example
 * const control = await runFleetControl(settings, options);
 */
export async function runFleetControl(
  settings: FleetControlSettings,
  options: Omit<
    StartFleetControlOptions,
    "listener" | "formingSeeds" | "onFormable"
  >,
): Promise<FleetControl> {
  const listener = await openPeerListener(settings.peerAddress);
  try {
    return await runOnListener(settings, { ...options, listener });
  } catch (error) {
    await listener[Symbol.asyncDispose]();
    throw error;
  }
}

async function runOnListener(
  settings: FleetControlSettings,
  options: Omit<StartFleetControlOptions, "formingSeeds" | "onFormable">,
): Promise<FleetControl> {
  let isForming = false;
  let changing = Promise.resolve();
  let control = await startFleetControl(settings, {
    ...options,
    onFormable(seeds) {
      if (isForming) return;
      isForming = true;
      changing = form(seeds).catch(options.onFatal);
    },
  });

  async function form(formingSeeds: readonly FleetSeed[]): Promise<void> {
    options.log("clusterFormable", {
      seeds: formingSeeds.map((seed) => seed.callerAddress),
    });
    await control.stop();
    control = await startFleetControl(settings, { ...options, formingSeeds });
  }

  return {
    call: (call) => control.call(call),
    getLeaderCallerAddress: () => control.getLeaderCallerAddress(),
    getState: () => control.getState(),
    async stop() {
      await changing;
      await control.stop();
      await options.listener[Symbol.asyncDispose]();
    },
  };
}
