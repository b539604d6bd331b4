/**
 * Decides which engines are to hold which layers.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import { findGaps } from "./find_gaps.ts";
import { divideEngines, groupCopies } from "./group_copies.ts";
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
 * Plans the next orders: whole copies of the model in each data centre that can
 * hold one, as many as run the most requests; one more over the engines of the
 * others together.
 *
 * A copy that lost a range gets it back on spare engines; without any, and
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
  const { figures } = options;
  const copies = groupEngines(engines, figures)
    .flatMap((group) => planGroup(group, figures));
  const chosen = chooseSpread(copies, options);
  return copies.flatMap((copy) =>
    copy === chosen ? spread(copy.engines, figures) : copy.filling
  );
}

/** Engines that together hold whole copies. */
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
interface CopyPlan {
  readonly groupName: string;
  /** Its engines, with the spare ones that it takes. */
  readonly engines: readonly LayerEngine[];
  /** Orders to spare engines that fill its gaps, or make it. */
  readonly filling: readonly LayerOrder[];
  /** Whether gaps remain. */
  readonly hasGaps: boolean;
}

function planGroup(group: EngineGroup, figures: LayerFigures): CopyPlan[] {
  const { copies, spares } = groupCopies(group.engines, figures);
  const groupName = group.name;
  let left = spares;
  const plans = copies.map((copy): CopyPlan => {
    const ranges = copy.map((engine) => engine.range as LayerRange);
    const gaps = findGaps(ranges, figures.layers);
    const filling = fillGaps(gaps, { copy, spares: left, figures });
    const ids = new Set(filling.map(({ engineId }) => engineId));
    const taken = left.filter(({ engineId }) => ids.has(engineId));
    left = left.filter(({ engineId }) => !ids.has(engineId));
    const remaining = findGaps([...ranges, ...filling], figures.layers);
    return {
      groupName,
      engines: [...copy, ...taken],
      filling,
      hasGaps: remaining.length > 0,
    };
  });
  return [...plans, ...planNewCopies(left, { groupName, figures })];
}

// Engines that hold a part too small to be repaired wait as one that has gaps:
// until they are spread anew, paths may use what they hold.
function planNewCopies(
  spares: readonly LayerEngine[],
  options: { groupName: string; figures: LayerFigures },
): CopyPlan[] {
  const { groupName, figures } = options;
  const isHeld = spares.some((engine) => engine.range !== undefined);
  return divideEngines(spares, figures).map((engines) => ({
    groupName,
    engines,
    filling: isHeld ? [] : spread(engines, figures),
    hasGaps: isHeld,
  }));
}

// A copy that is spread anew serves little meanwhile: one at a time.
function chooseSpread(
  copies: readonly CopyPlan[],
  { figures, mayRespread }: PlanLayerOrdersOptions,
): CopyPlan | undefined {
  const broken = copies.filter(({ engines, hasGaps }) =>
    hasGaps && findTokensInFlight(engines, figures) !== undefined
  );
  const names = new Set(broken.map(({ groupName }) => groupName));
  const ready = new Set([...names].filter(mayRespread));
  const chosen = broken.find(({ groupName }) => ready.has(groupName));
  const othersLoad = copies.some((copy) =>
    copy !== chosen && copy.engines.some((engine) => engine.isLoading)
  );
  return othersLoad ? undefined : chosen;
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
  options: {
    copy: readonly LayerEngine[];
    spares: readonly LayerEngine[];
    figures: LayerFigures;
  },
): LayerOrder[] {
  const { copy, spares, figures } = options;
  if (gaps.length === 0) return [];
  const usual = findTokensInFlight([...copy, ...spares], figures) ?? 0;
  const tokens = usual * GAP_ROOM_SHARE;
  let empty = spares
    .filter((engine) => !engine.isLoading)
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
