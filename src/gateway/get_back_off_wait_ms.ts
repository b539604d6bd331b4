/**
 * When the end of back-offs makes requests possible again.
 *
 * @module
 */

import type { EngineNotices } from "./create_engine_notices.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { EngineView } from "./engine_view.ts";

/** Who there is, and how long back-offs last. */
export interface GetBackOffWaitOptions {
  readonly engines: Pick<EngineTable, "listUsable" | "listBackedOff">;
  readonly notices: Pick<EngineNotices, "getBackOffLeftMs">;
  readonly service: string;
  /** Layers of its model; none where each upstream serves alone. */
  readonly layers?: number;
}

/**
 * Gets the time after which a request can be sent again that can't be now because
 * upstreams are backed off: until the first that serves alone, or enough of them that
 * hold layers. Known beforehand, it is told at once in place of trying.
 *
 * @param options - Who there is, and how long back-offs last.
 * @returns Ms; undefined where it isn't back-offs that are in the way.
 * @throws Nothing.
 * @example
 * const waitMs = getBackOffWaitMs({ engines, notices, service, layers: 80 });
 */
export function getBackOffWaitMs(
  options: GetBackOffWaitOptions,
): number | undefined {
  const { engines, notices, service, layers = 0 } = options;
  const isEnough = layers === 0 ? hasAny : createCoverCheck(layers);
  if (isEnough(engines.listUsable(service))) return undefined;
  const inTurn = engines.listBackedOff(service)
    .map((view) => ({
      view,
      leftMs: notices.getBackOffLeftMs(view.record.engineId),
    }))
    .sort((a, b) => a.leftMs - b.leftMs);
  return inTurn.find(({ view }) => isEnough([view]))?.leftMs;
}

function hasAny(views: readonly EngineView[]): boolean {
  return views.length > 0;
}

// Tells, as holders are added, whether every layer has one.
function createCoverCheck(
  layers: number,
): (added: readonly EngineView[]) => boolean {
  const covered = new Set<number>();
  return (added) => {
    for (const { record } of added) {
      const { fromLayer, toLayer } = record.layers ??
        { fromLayer: 0, toLayer: 0 };
      for (let at = fromLayer; at < toLayer; at++) covered.add(at);
    }
    return covered.size >= layers;
  };
}
