/**
 * An entry of a randomised schedule, with the real replica of the configuration.
 *
 * @module
 */

import {
  type ConfigReplica,
  createConfigReplica,
} from "../src/entry/create_config_replica.ts";
import {
  getChangesSince,
  getResourceStateData,
  type ResourceState,
} from "../src/resources/index.ts";
import type { RandomSource } from "./random_source.ts";
import type { InjectedFault } from "./schedule_replica.ts";

/** Creates an entry that receives configuration updates late and out of order. */
export function createScheduleEntry(options: {
  random: RandomSource;
  fail: (what: string) => never;
  injectedFault: InjectedFault | undefined;
}) {
  const { random, fail, injectedFault } = options;
  let config: ConfigReplica = createConfigReplica();
  const delayedUpdates: Parameters<ConfigReplica["applyUpdate"]>[0][] = [];
  let highestRevision = 0;

  function offer(state: ResourceState): void {
    if (state.revision === 0) return;
    const since = random.chance(0.5) ? config.getState().revision : 0;
    const changes = getChangesSince(state, since);
    const full = changes === undefined;
    delayedUpdates.push({
      clusterId: "c",
      revision: state.revision,
      full,
      changes: changes ?? [...state.resources.values()].map((resource) => ({
        revision: resource.revision,
        kind: resource.kind,
        name: resource.name,
        resource,
      })),
    });
    if (delayedUpdates.length < 4) return;
    const [update] = delayedUpdates.splice(
      random.integer(0, delayedUpdates.length - 1),
      1,
    );
    if (injectedFault === "take_any_revision") config = createConfigReplica();
    const outcome = config.applyUpdate(update);
    const now = config.getState();
    if (now.revision < highestRevision) fail("an entry's revision decreased");
    highestRevision = now.revision;
    if (outcome !== "applied" || now.revision !== state.revision) return;
    const entryResources = getResourceStateData(now).resources;
    const controlResources = getResourceStateData(state).resources;
    if (sortedText(entryResources) !== sortedText(controlResources)) {
      fail(`an entry differs at revision ${now.revision}`);
    }
  }

  return { offer };
}

function sortedText(resources: readonly unknown[]): string {
  return resources.map((resource) => JSON.stringify(resource)).sort().join();
}
