/**
 * Records of upstreams for tests.
 *
 * @module
 */

import type { EngineRecord } from "../../src/engines/index.ts";

/** Makes a record of an upstream that is not leaving. */
export function makeEngineRecord(
  engineId: string,
  fields: Partial<EngineRecord> = {},
): EngineRecord {
  return {
    engineId,
    service: "s",
    address: `${engineId}:80`,
    place: "p",
    slots: 4,
    isLeaving: false,
    ...fields,
  };
}
