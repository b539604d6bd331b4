/**
 * Recovery of a placement after losses: an event-driven run of the repair
 * beside a plan made anew.
 *
 * @module
 */

import {
  getFlowBound,
  getPlacementFlow,
  type PlacedEngine,
  type PlacementEngine,
  planPlacement,
  planRepairMove,
} from "../src/placement/index.ts";
import { makePlacementEngines, MODEL_LAYERS } from "./placement.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** Time, in ms, for the weight store to deliver one layer to one engine. */
const LAYER_LOAD_MS = 500;

/** Loads that the weight store takes at once. */
const MAX_LOADS = 2;

/** Ms after a loss until control knows of it. */
const NOTICE_MS = 1_500;

interface Loading {
  readonly upstream: string;
  readonly readyMs: number;
}

/** What a run of the repair measured. */
export interface RepairRun {
  /** Flow right after the loss, as a part of the flow before. */
  readonly leftPart: number;
  /** Least flow while the repair ran, as a part of that right after the loss. */
  readonly leastPart: number;
  /** Time, in ms, until the flow reached its part of the new bound. */
  readonly recoveredMs: number;
  /** Time, in ms, of that which the weight store took. */
  readonly loadingMs: number;
  readonly movedLayers: number;
  /** Flow at the end, as a part of the new bound. */
  readonly endPart: number;
  /** The same for a plan made anew. */
  readonly planPart: number;
  /** Layers that a plan made anew would have moved. */
  readonly planMovedLayers: number;
}

/** Runs the repair after losses; each is given by its time and its engines. */
export function runRepair(
  engines: readonly PlacementEngine[],
  losses: readonly { atMs: number; names: readonly string[] }[],
): RepairRun {
  const options = { layerCount: MODEL_LAYERS };
  const plan = planPlacement(engines, options);
  const stages = [
    ...new Map(
      plan.assignments.map(({ layers }) => [layers.start, layers]),
    ).values(),
  ].sort((a, b) => a.start - b.start);
  let live = [...engines];
  let placed: PlacedEngine[] = plan.assignments.map((one) => ({
    ...one,
    ready: true,
  }));
  const loads: Loading[] = [];
  let movedLayers = 0;
  let recoveredMs = NaN;
  let leastFlow = Infinity;
  let leftFlow = NaN;
  let loadingMs = 0;
  const lastLossMs = losses[losses.length - 1].atMs;
  const getFlow = () =>
    getPlacementFlow(placed.filter((one) => one.ready), {
      engines: live,
      ...options,
    });

  for (let nowMs = 0; nowMs < 300_000; nowMs += 50) {
    for (const loss of losses.filter((one) => one.atMs === nowMs)) {
      live = live.filter(({ name }) => !loss.names.includes(name));
      placed = placed.filter((one) => !loss.names.includes(one.upstream));
      if (Number.isNaN(leftFlow)) leftFlow = getFlow();
      leastFlow = Math.min(leastFlow, getFlow());
    }
    for (const load of loads.filter((one) => one.readyMs === nowMs)) {
      placed = placed.map((one) =>
        one.upstream === load.upstream ? { ...one, ready: true } : one
      );
    }
    if (nowMs >= losses[0].atMs + NOTICE_MS) startMoves(nowMs);
    if (nowMs > losses[0].atMs) leastFlow = Math.min(leastFlow, getFlow());
    const boundPerS = getFlowBound(live, MODEL_LAYERS);
    const recovered = nowMs >= lastLossMs && getFlow() >= 0.9 * boundPerS;
    if (recovered && Number.isNaN(recoveredMs)) {
      recoveredMs = nowMs - lastLossMs;
    }
  }

  function startMoves(nowMs: number): void {
    for (;;) {
      const move = planRepairMove(placed, {
        engines: live,
        stages,
        maxLoads: MAX_LOADS,
        ...options,
      });
      if (!move) return;
      const { upstream, to } = move;
      const size = to.end - to.start;
      movedLayers += size;
      loadingMs = Math.max(loadingMs, size * LAYER_LOAD_MS);
      placed = placed.filter((one) => one.upstream !== upstream);
      placed.push({ upstream, layers: to, ready: false });
      loads.push({ upstream, readyMs: nowMs + size * LAYER_LOAD_MS });
    }
  }

  const anew = planPlacement(live, options);
  const boundPerS = getFlowBound(live, MODEL_LAYERS);
  const before = new Map(plan.assignments.map((one) => [one.upstream, one]));
  const planMovedLayers = anew.assignments
    .filter(({ upstream, layers }) =>
      before.get(upstream)?.layers.start !== layers.start ||
      before.get(upstream)?.layers.end !== layers.end
    )
    .reduce((sum, { layers }) => sum + layers.end - layers.start, 0);
  return {
    leftPart: leftFlow / plan.flowPerS,
    leastPart: leftFlow === 0 ? 0 : leastFlow / leftFlow,
    recoveredMs,
    loadingMs,
    movedLayers,
    endPart: getFlow() / boundPerS,
    planPart: anew.flowPerS / boundPerS,
    planMovedLayers,
  };
}

/** Engines of one stage of a plan, the strongest first. */
export function listStageEngines(
  engines: readonly PlacementEngine[],
  stage: number,
): string[] {
  const plan = planPlacement(engines, { layerCount: MODEL_LAYERS });
  const starts = [...new Set(plan.assignments.map((one) => one.layers.start))]
    .sort((a, b) => a - b);
  const speed = new Map(engines.map((one) => [one.name, one.layersPerS]));
  return plan.assignments
    .filter((one) => one.layers.start === starts[stage])
    .map((one) => one.upstream)
    .sort((a, b) => (speed.get(b) ?? 0) - (speed.get(a) ?? 0));
}

/** Measures the recovery of placements. */
export function measureRecovery(): void {
  const rows: TableRow[] = [];
  for (const count of [40, 600]) {
    const engines = makePlacementEngines(count, "mixed");
    const stage = listStageEngines(engines, 0);
    const many = Math.ceil(count / 40);
    const cases = [
      {
        name: `${many} engines of one stage`,
        losses: [{ atMs: 0, names: stage.slice(0, many) }],
      },
      {
        name: "half of one stage",
        losses: [{ atMs: 0, names: stage.slice(0, stage.length / 2) }],
      },
      {
        name: "one whole stage",
        losses: [{ atMs: 0, names: stage }],
      },
      {
        name: `${many} engines, ${many} more in the repair`,
        losses: [
          { atMs: 0, names: stage.slice(0, many) },
          { atMs: 3_000, names: stage.slice(many, many * 2) },
        ],
      },
    ];
    for (const { name, losses } of cases) {
      rows.push({
        engines: count,
        lost: name,
        ...describeRun(engines, losses),
      });
    }
  }
  printTable(rows);
}

function describeRun(
  engines: readonly PlacementEngine[],
  losses: Parameters<typeof runRepair>[1],
): TableRow {
  const run = runRepair(engines, losses);
  const seconds = (ms: number) => (ms / 1_000).toFixed(1);
  return {
    "flow left": run.leftPart.toFixed(2),
    "least while repaired": run.leastPart.toFixed(2),
    "back to 0.9 s": seconds(run.recoveredMs),
    "one load s": seconds(run.loadingMs),
    "end of bound": run.endPart.toFixed(3),
    "anew of bound": run.planPart.toFixed(3),
    "layers moved": run.movedLayers,
    "moved anew": run.planMovedLayers,
  };
}
