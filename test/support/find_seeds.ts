/**
 * Addresses for control processes under test.
 *
 * @module
 */

import { findFreePorts } from "../../demo/find_free_ports.ts";
import type { FleetSeed } from "../../src/fleet/index.ts";

/** Finds free addresses for a number of control processes. */
export async function findSeeds(count: number): Promise<FleetSeed[]> {
  const ports = await findFreePorts(count * 2);
  return Array.from({ length: count }, (_, at) => ({
    callerAddress: `127.0.0.1:${ports[2 * at]}`,
    peerAddress: `127.0.0.1:${ports[2 * at + 1]}`,
  }));
}
