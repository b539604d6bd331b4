/**
 * A first engine and holders of the other layers, for tests of runs that move.
 *
 * @module
 */

import { createEngineTable } from "../../src/gateway/create_engine_table.ts";
import type { AddressedPart } from "../../src/gateway/protocol.ts";
import type { Call, ServingContext } from "../../src/gateway/types.ts";
import { makeEngineRecord } from "./make_engine_record.ts";
import { makeLayeredModel } from "./make_layered_model.ts";

/** A call that can move between the engines of {@link makeHolderContext}. */
export const MOVED_CALL = {
  service: "s",
  request: { requestId: "r", promptTokens: 20, maxAnswerTokens: 20 },
  requestKey: "k",
} as Call;

/**
 * Makes the context of a run over the first engine e1 and one of the holders.
 *
 * @param holderIds - Engines that hold the other layers.
 * @param missingIds - Those of them that reject a path and are named.
 * @returns The context, and the engines to which the run was moved or was to be moved.
 * @throws Nothing.
 * @example
 * const { context, triedEngineIds } = makeHolderContext(["e2", "e3"], ["e3"]);
 */
export function makeHolderContext(
  holderIds: readonly string[],
  missingIds: readonly string[] = [],
) {
  const engines = createEngineTable({
    now: () => 0,
    log: () => {},
    onRemoved: () => {},
  });
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: ["e1", ...holderIds].map((engineId) =>
      makeEngineRecord(engineId, {
        layers: engineId === "e1"
          ? { fromLayer: 0, toLayer: 4 }
          : { fromLayer: 4, toLayer: 8 },
        card: "card",
        slots: 8,
      })
    ),
    gone: [],
  });
  const triedEngineIds: string[] = [];
  const context = {
    quarantine: { judge: () => ({ type: "free" }) },
    notices: { getBackOffLeftMs: () => 0, record: () => {} },
    metrics: { count: () => {} },
    log: () => {},
    engines,
    getTable: () => ({ getService: () => ({ model: makeLayeredModel() }) }),
    getGatewayCount: () => 1,
    now: () => 0,
    random: () => 0,
    upstreamDrainMs: 0,
    engineControl: {
      changePath(
        _address: string,
        { path }: { readonly path: readonly AddressedPart[] },
      ) {
        const { engineId, address } = path[1];
        triedEngineIds.push(engineId);
        return Promise.resolve(
          missingIds.includes(engineId)
            ? { isAccepted: false, missingAddress: address }
            : { isAccepted: true },
        );
      },
    },
  } as unknown as ServingContext;
  return { context, triedEngineIds };
}
