/**
 * Computes when back-offs have ended far enough for a request to be sent again.
 *
 * @module
 */

import type { EngineNotices } from "./create_engine_notices.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { EngineView } from "./engine_view.ts";

/** The upstreams, and their remaining back-offs. */
export interface GetBackOffWaitOptions {
  readonly engines: Pick<EngineTable, "listUsable" | "listBackedOff">;
  readonly notices: Pick<EngineNotices, "getBackOffLeftMs">;
  readonly service: string;
  /** Layers of its model; absent if each upstream serves the whole model. */
  readonly layers?: number;
}

/**
 * Gets the time after which a request that is blocked by back-offs can be sent: when
 * the first upstream that serves alone is back, or enough of them to cover all layers.
 * As the time is known in advance, the caller is refused without an attempt.
 *
 * @param options - The upstreams, and their remaining back-offs.
 * @returns Ms; undefined if the request isn't blocked by back-offs.
 * @throws Nothing.
 * @example
 * const waitMs = getBackOffWaitMs({ engines, notices, service, layers: 80 });
 */
export function getBackOffWaitMs(
  options: GetBackOffWaitOptions,
): number | undefined {
  const { engines, notices, service, layers = 0 } = options;
  const isEnough = layers === 0 ? hasAny : createCoverageCheck(layers);
  if (isEnough(engines.listUsable(service))) return undefined;
  const byBackOffEnd = engines.listBackedOff(service)
    .map((view) => ({
      view,
      leftMs: notices.getBackOffLeftMs(view.record.engineId),
    }))
    .sort((a, b) => a.leftMs - b.leftMs);
  return byBackOffEnd.find(({ view }) => isEnough([view]))?.leftMs;
}

function hasAny(views: readonly EngineView[]): boolean {
  return views.length > 0;
}

// Returns a check to which upstreams are added until together they hold all layers.
function createCoverageCheck(
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
