/**
 * Recovery of a layer placement after engines fail: a simulation in virtual time
 * of the incremental repair, compared with replanning from scratch.
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

/** Time for the weight store to deliver one layer to one engine, in ms. */
const LAYER_LOAD_MS = 500;

/** Maximum number of engines that load from the weight store concurrently. */
const MAX_CONCURRENT_LOADS = 2;

/** Time until the control plane detects a failed engine, in ms. */
const DETECTION_DELAY_MS = 1_500;

interface Loading {
  readonly upstream: string;
  readonly readyMs: number;
}

/** Result of a simulated repair. */
export interface RepairResult {
  /** Flow right after the first failure, as a share of the flow before it. */
  readonly remainingShare: number;
  /**
   * Lowest flow during the repair, as a share of the flow right after the first
   * failure.
   */
  readonly minShare: number;
  /** Time from the last failure until 0.9 of the new bound is reached, in ms. */
  readonly recoveredMs: number;
  /** Duration of the longest load from the weight store, in ms. */
  readonly longestLoadMs: number;
  readonly movedLayers: number;
  /** Flow at the end, as a share of the new bound. */
  readonly finalShare: number;
  /** Flow after replanning from scratch, as a share of the new bound. */
  readonly replanShare: number;
  /** Layers that replanning from scratch would have moved. */
  readonly replanMovedLayers: number;
}

/**
 * Simulates the repair after losses; each loss has the time and the names of the
 * engines that fail.
 */
export function runRepair(
  engines: readonly PlacementEngine[],
  losses: readonly { atMs: number; names: readonly string[] }[],
): RepairResult {
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
  let minFlow = Infinity;
  let remainingFlow = NaN;
  let longestLoadMs = 0;
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
      if (Number.isNaN(remainingFlow)) remainingFlow = getFlow();
      minFlow = Math.min(minFlow, getFlow());
    }
    for (const load of loads.filter((one) => one.readyMs === nowMs)) {
      placed = placed.map((one) =>
        one.upstream === load.upstream ? { ...one, ready: true } : one
      );
    }
    if (nowMs >= losses[0].atMs + DETECTION_DELAY_MS) startMoves(nowMs);
    if (nowMs > losses[0].atMs) minFlow = Math.min(minFlow, getFlow());
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
        maxLoads: MAX_CONCURRENT_LOADS,
        ...options,
      });
      if (!move) return;
      const { upstream, to } = move;
      const size = to.end - to.start;
      movedLayers += size;
      longestLoadMs = Math.max(longestLoadMs, size * LAYER_LOAD_MS);
      placed = placed.filter((one) => one.upstream !== upstream);
      placed.push({ upstream, layers: to, ready: false });
      loads.push({ upstream, readyMs: nowMs + size * LAYER_LOAD_MS });
    }
  }

  const replan = planPlacement(live, options);
  const boundPerS = getFlowBound(live, MODEL_LAYERS);
  const before = new Map(plan.assignments.map((one) => [one.upstream, one]));
  const replanMovedLayers = replan.assignments
    .filter(({ upstream, layers }) =>
      before.get(upstream)?.layers.start !== layers.start ||
      before.get(upstream)?.layers.end !== layers.end
    )
    .reduce((sum, { layers }) => sum + layers.end - layers.start, 0);
  return {
    remainingShare: remainingFlow / plan.flowPerS,
    minShare: remainingFlow === 0 ? 0 : minFlow / remainingFlow,
    recoveredMs,
    longestLoadMs,
    movedLayers,
    finalShare: getFlow() / boundPerS,
    replanShare: replan.flowPerS / boundPerS,
    replanMovedLayers,
  };
}

/** Lists the engines of one stage of a plan, the fastest first. */
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

/** Measures the recovery of placements after engines fail. */
export function measureRecovery(): void {
  const rows: TableRow[] = [];
  for (const count of [40, 600]) {
    const engines = makePlacementEngines(count, "mixed");
    const stage = listStageEngines(engines, 0);
    const lossCount = Math.ceil(count / 40);
    const cases = [
      {
        name: `${lossCount} engines of one stage`,
        losses: [{ atMs: 0, names: stage.slice(0, lossCount) }],
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
        name: `${lossCount} engines, ${lossCount} more in the repair`,
        losses: [
          { atMs: 0, names: stage.slice(0, lossCount) },
          { atMs: 3_000, names: stage.slice(lossCount, lossCount * 2) },
        ],
      },
    ];
    for (const { name, losses } of cases) {
      rows.push({
        engines: count,
        lost: name,
        ...formatRun(engines, losses),
      });
    }
  }
  printTable(rows);
}

function formatRun(
  engines: readonly PlacementEngine[],
  losses: Parameters<typeof runRepair>[1],
): TableRow {
  const run = runRepair(engines, losses);
  const seconds = (ms: number) => (ms / 1_000).toFixed(1);
  return {
    "flow left": run.remainingShare.toFixed(2),
    "least while repaired": run.minShare.toFixed(2),
    "back to 0.9 s": seconds(run.recoveredMs),
    "one load s": seconds(run.longestLoadMs),
    "end of bound": run.finalShare.toFixed(3),
    "anew of bound": run.replanShare.toFixed(3),
    "layers moved": run.movedLayers,
    "moved anew": run.replanMovedLayers,
  };
}
