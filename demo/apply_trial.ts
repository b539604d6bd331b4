/**
 * Applies resources to a fleet and waits until all entries have them.
 *
 * @module
 */

import { request } from "undici";
import {
  type AppliedResource,
  applyResources,
  type DeclaredResource,
  parseResources,
} from "../src/cli/apply_resources.ts";
import type { Fleet } from "./launch_fleet.ts";
import { ACCOUNT_KEY } from "./trial_resources.ts";

/** An entry in the list that callers get. */
export interface NamedEntry {
  readonly vm: string;
  readonly address: string;
}

/** Result of {@link applyTrial}. */
export interface AppliedTrial {
  readonly applied: readonly AppliedResource[];
  /** Entries for the service in the order of preference. */
  readonly entries: readonly NamedEntry[];
}

/** Applies resources to a fleet and waits until all entries have them. */
export async function applyTrial(
  fleet: Fleet,
  resources: readonly DeclaredResource[],
  options: { service: string },
): Promise<AppliedTrial> {
  const text = JSON.stringify(resources);
  const declared = parseResources(text, { file: "trial" });
  const applied = await applyResources(fleet.operator, declared);
  const { revision } = applied[applied.length - 1];
  await fleet.until("the configuration is in force", async () => {
    const status = await fleet.operator.call<{ inForceRevision: number }>({
      path: "/v1/status",
    });
    return status.inForceRevision >= revision;
  });
  let entries: readonly NamedEntry[] = [];
  await fleet.until("every entry lists all entries", async () => {
    for (const { address } of fleet.entries) {
      entries = await listEntries(address, options.service);
      if (entries.length < fleet.entries.length) return false;
    }
    return true;
  });
  return { applied, entries };
}

/** Requests the list of entries for a service from an entry. */
export async function listEntries(
  address: string,
  service: string,
): Promise<readonly NamedEntry[]> {
  const url = `http://${address}/v1/entries?service=${service}`;
  const response = await request(url, {
    headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
  });
  const body = await response.body.json() as { entries?: NamedEntry[] };
  return body.entries ?? [];
}
