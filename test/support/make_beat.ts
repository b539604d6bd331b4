import type { EngineHeartbeat } from "../../src/engines/index.ts";

/** Makes the first heartbeat of upstream `e1` of service `s`. */
export function makeHeartbeat(
  fields: Partial<EngineHeartbeat> = {},
): EngineHeartbeat {
  return {
    engineId: "e1",
    service: "s",
    address: "10.0.0.1:80",
    place: "p",
    slots: 4,
    isLeaving: false,
    sequence: 1,
    ...fields,
  };
}
