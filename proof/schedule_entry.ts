/**
 * An entry of a randomised schedule: the real copy of the configuration.
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
import type { Sabotage } from "./schedule_replica.ts";

/** An entry that takes pieces of configuration late and in any order. */
export function createScheduleEntry(options: {
  random: RandomSource;
  fail: (what: string) => never;
  sabotage: Sabotage | undefined;
}) {
  const { random, fail, sabotage } = options;
  let config: ConfigReplica = createConfigReplica();
  const late: Parameters<ConfigReplica["take"]>[0][] = [];
  let highest = 0;

  function offer(state: ResourceState): void {
    if (state.revision === 0) return;
    const since = random.chance(0.5) ? config.getState().revision : 0;
    const changes = getChangesSince(state, since);
    const full = changes === undefined;
    late.push({
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
    if (late.length < 4) return;
    const [piece] = late.splice(random.integer(0, late.length - 1), 1);
    if (sabotage === "take_any_revision") config = createConfigReplica();
    const taken = config.take(piece);
    const now = config.getState();
    if (now.revision < highest) fail("an entry went back");
    highest = now.revision;
    if (taken !== "applied" || now.revision !== state.revision) return;
    const ours = getResourceStateData(now).resources;
    const theirs = getResourceStateData(state).resources;
    if (sortedText(ours) !== sortedText(theirs)) {
      fail(`an entry differs at revision ${now.revision}`);
    }
  }

  return { offer };
}

function sortedText(resources: readonly unknown[]): string {
  return resources.map((resource) => JSON.stringify(resource)).sort().join();
}
