/**
 * Decides which engines are to hold which layers.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import { findGaps } from "./find_gaps.ts";
import { findTokensInFlight, getLayerRoom, planCopy } from "./plan_copy.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/** What a plan may do. */
export interface PlanLayerOrdersOptions {
  readonly figures: LayerFigures;
  /** Whether a copy with a gap that no empty engine fills is spread anew. */
  readonly mayRespread: (place: string) => boolean;
}

/** Share of a group's own tokens in flight that a filled gap leaves at least. */
const GAP_ROOM_SHARE = 0.5;

/**
 * Plans the next orders: a whole copy of the model in each data centre that
 * can hold one, one more over the engines of the others together.
 *
 * A copy that lost a range gets it back on empty engines; without any, and
 * where the options allow it, the copy is spread anew over what is left. Only
 * one copy at a time is: while its engines load, the others serve.
 *
 * @param engines - The engines that stay, with what they hold or were ordered
 * to hold.
 * @param options - The model's figures and what is allowed.
 * @returns The orders, none where all is in place.
 * @throws Nothing.
 * @example
 * const orders = planLayerOrders(engines, { figures, mayRespread });
 */
export function planLayerOrders(
  engines: readonly LayerEngine[],
  options: PlanLayerOrdersOptions,
): LayerOrder[] {
  const { figures, mayRespread } = options;
  const groups = groupEngines(engines, figures);
  let spreadGroup = groups.find(isLoadingGroup);
  return groups.flatMap((group) => {
    const orders = planGroup(group, figures);
    if (orders.type === "orders") return orders.orders;
    // A copy that is spread anew serves little meanwhile: one at a time.
    const mayBegin = mayRespread(group.name);
    const isAlone = spreadGroup === undefined || spreadGroup === group;
    if (!mayBegin || !isAlone) return orders.filling;
    spreadGroup = group;
    return spread(group.engines, figures);
  });
}

function isLoadingGroup(group: EngineGroup): boolean {
  return group.engines.some((engine) => engine.isLoading);
}

/** Engines that together hold one copy. */
interface EngineGroup {
  readonly name: string;
  readonly engines: readonly LayerEngine[];
}

function groupEngines(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): EngineGroup[] {
  const byPlace = new Map<string, LayerEngine[]>();
  for (const engine of engines) {
    byPlace.set(engine.place, [...byPlace.get(engine.place) ?? [], engine]);
  }
  const groups: EngineGroup[] = [];
  let rest: EngineGroup = { name: "", engines: [] };
  for (const [name, members] of [...byPlace].sort(compareNames)) {
    const isWhole = findTokensInFlight(members, figures) !== undefined;
    if (isWhole) groups.push({ name, engines: members });
    else {
      const joined = [rest.name, name].filter(Boolean).join("+");
      rest = { name: joined, engines: [...rest.engines, ...members] };
    }
  }
  return rest.engines.length > 0 ? [...groups, rest] : groups;
}

function compareNames(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
): number {
  return a < b ? -1 : 1;
}

/** What one copy needs. */
type GroupPlan =
  | { readonly type: "orders"; readonly orders: readonly LayerOrder[] }
  /** Gaps that empty engines can't fill; what they fill of them. */
  | { readonly type: "gaps"; readonly filling: readonly LayerOrder[] };

function planGroup(group: EngineGroup, figures: LayerFigures): GroupPlan {
  const held = group.engines.filter((engine) => engine.range !== undefined);
  if (held.length === 0) {
    return { type: "orders", orders: spread(group.engines, figures) };
  }
  const ranges = held.map((engine) => engine.range as LayerRange);
  const gaps = findGaps(ranges, figures.layers);
  const filling = fillGaps(gaps, group, figures);
  const left = findGaps([...ranges, ...filling], figures.layers);
  if (left.length === 0) return { type: "orders", orders: filling };
  return { type: "gaps", filling };
}

// The order of the layers follows what is held, so that a new spread moves as
// few layers as it can; larger engines come first among the empty ones.
function spread(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): LayerOrder[] {
  const sorted = [...engines].sort((a, b) =>
    getMiddle(a, figures) - getMiddle(b, figures) ||
    b.memoryMb - a.memoryMb || compareNames([a.engineId, 0], [b.engineId, 0])
  );
  const ranges = new Map(
    engines.map(({ engineId, range }) => [engineId, range]),
  );
  return (planCopy(sorted, figures) ?? []).filter((order) => {
    const range = ranges.get(order.engineId);
    return range?.fromLayer !== order.fromLayer ||
      range.toLayer !== order.toLayer;
  });
}

function getMiddle(engine: LayerEngine, figures: LayerFigures): number {
  const { range } = engine;
  return range ? (range.fromLayer + range.toLayer) / 2 : figures.layers;
}

function fillGaps(
  gaps: readonly LayerRange[],
  group: EngineGroup,
  figures: LayerFigures,
): LayerOrder[] {
  const usual = findTokensInFlight(group.engines, figures) ?? 0;
  const tokens = usual * GAP_ROOM_SHARE;
  let empty = group.engines
    .filter((engine) => engine.range === undefined)
    .map(({ engineId, memoryMb }) => ({
      engineId,
      room: getLayerRoom(memoryMb, figures, { tokens }),
    }))
    .filter(({ room }) => room > 0);
  const orders: LayerOrder[] = [];
  for (const gap of [...gaps].sort((a, b) => getSize(b) - getSize(a))) {
    let { fromLayer } = gap;
    while (fromLayer < gap.toLayer && empty.length > 0) {
      const size = gap.toLayer - fromLayer;
      const { engineId, room } = chooseEmpty(empty, size);
      const toLayer = Math.min(gap.toLayer, fromLayer + room);
      orders.push({ engineId, fromLayer, toLayer });
      empty = empty.filter((engine) => engine.engineId !== engineId);
      fromLayer = toLayer;
    }
  }
  return orders;
}

interface EmptyEngine {
  readonly engineId: string;
  readonly room: number;
}

// The smallest engine that takes the whole gap, or else the largest there is.
function chooseEmpty(
  empty: readonly EmptyEngine[],
  size: number,
): EmptyEngine {
  const sorted = [...empty].sort((a, b) => a.room - b.room);
  return sorted.find(({ room }) => room >= size) ??
    sorted[sorted.length - 1];
}

function getSize(range: LayerRange): number {
  return range.toLayer - range.fromLayer;
}
