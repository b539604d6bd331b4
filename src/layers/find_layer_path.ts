/**
 * Finds the path over engines that runs every layer once and in order.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import type { PathPart } from "./types.ts";

/** An engine that holds layers, as the path search sees it. */
export interface PathEngine extends LayerRange {
  readonly engineId: string;
  readonly place: string;
  /** Cost of one layer on it; the unit is the caller's. */
  readonly layerCost: number;
  /** Cost of being the first of a path; undefined where it may not be. */
  readonly firstCost: number | undefined;
}

/** What a path costs besides its layers. */
export interface FindLayerPathOptions {
  readonly layers: number;
  /** Layer at which the path begins; 0 by default. */
  readonly fromLayer?: number;
  /** Data centre from which the request comes. */
  readonly place: string;
  /** Cost of going on to another engine. */
  readonly hopCost: number;
  /** Cost, on top, where the first engine is in another data centre. */
  readonly entryPlaceCost: number;
  /**
   * Cost, on top, where a later one is in another than the one before;
   * undefined where none may be.
   */
  readonly placeCost: number | undefined;
  /** Parts that a path may have at most. */
  readonly maxParts: number;
}

interface Step {
  readonly cost: number;
  readonly engine: PathEngine | undefined;
  /** Layer at which this engine's part begins. */
  readonly fromLayer: number;
  readonly parts: number;
  readonly previous: Step | undefined;
}

/**
 * Finds the cheapest path. An engine may serve a part of what it holds.
 *
 * @param engines - The engines that may be used.
 * @param options - The layers, the caller's place, the costs of hops.
 * @returns The parts in order, or undefined where layers are missing.
 * @throws Nothing.
 * @example
 * const path = findLayerPath(engines, options);
 */
export function findLayerPath(
  engines: readonly PathEngine[],
  options: FindLayerPathOptions,
): PathPart[] | undefined {
  const { layers, place, fromLayer = 0 } = options;
  const cuts = getCuts(engines, { fromLayer, layers });
  // For each cut the best way to end a part there, by its engine.
  const ends = new Map<number, Map<string, Step>>();
  const start: Step = {
    cost: 0,
    engine: undefined,
    fromLayer,
    parts: 0,
    previous: undefined,
  };
  ends.set(fromLayer, new Map([["", start]]));
  for (const cut of cuts) {
    const reached = [...ends.get(cut)?.values() ?? []];
    if (reached.length === 0 || cut === layers) continue;
    for (const engine of engines) {
      if (engine.fromLayer > cut || engine.toLayer <= cut) continue;
      if (cut === 0 && engine.firstCost === undefined) continue;
      const before = findCheapest(reached, engine, { place, options });
      if (!before || before.step.parts >= options.maxParts) continue;
      extend({ engine, cut, cuts, before, ends });
    }
  }
  const last = findMinimum([...ends.get(layers)?.values() ?? []]);
  return last && joinParts(readBack(last, layers));
}

function getCuts(
  engines: readonly PathEngine[],
  options: { fromLayer: number; layers: number },
): number[] {
  const { fromLayer, layers } = options;
  const cuts = new Set([fromLayer, layers]);
  for (const engine of engines) {
    cuts.add(engine.fromLayer).add(Math.min(engine.toLayer, layers));
  }
  return [...cuts].filter((cut) => cut >= fromLayer).sort((a, b) => a - b);
}

interface CheapestStep {
  readonly step: Step;
  readonly cost: number;
}

function findCheapest(
  reached: readonly Step[],
  engine: PathEngine,
  context: { place: string; options: FindLayerPathOptions },
): CheapestStep | undefined {
  const { place, options: { hopCost, placeCost, entryPlaceCost } } = context;
  let best: CheapestStep | undefined;
  for (const step of reached) {
    if (step.engine?.engineId === engine.engineId) continue;
    const from = step.engine?.place ?? place;
    const leaveCost = step.engine ? placeCost : entryPlaceCost;
    const awayCost = from === engine.place ? 0 : leaveCost;
    if (awayCost === undefined) continue;
    const firstCost = step.fromLayer === 0 && !step.engine
      ? engine.firstCost ?? 0
      : 0;
    const cost = step.cost + hopCost + firstCost + awayCost;
    if (!best || cost < best.cost) best = { step, cost };
  }
  return best;
}

function extend(
  options: {
    engine: PathEngine;
    cut: number;
    cuts: readonly number[];
    before: CheapestStep;
    ends: Map<number, Map<string, Step>>;
  },
): void {
  const { engine, cut, cuts, before, ends } = options;
  for (const end of cuts) {
    if (end <= cut || end > engine.toLayer) continue;
    const cost = before.cost + (end - cut) * engine.layerCost;
    const parts = before.step.parts + 1;
    const there = ends.get(end) ?? new Map<string, Step>();
    const known = there.get(engine.engineId);
    if (!known || cost < known.cost) {
      const previous = before.step;
      const step = { cost, engine, fromLayer: cut, parts, previous };
      there.set(engine.engineId, step);
    }
    ends.set(end, there);
  }
}

function findMinimum(steps: readonly Step[]): Step | undefined {
  return steps.reduce<Step | undefined>(
    (best, step) => best && best.cost <= step.cost ? best : step,
    undefined,
  );
}

function readBack(last: Step, layers: number): PathPart[] {
  const parts: PathPart[] = [];
  let step: Step | undefined = last;
  let toLayer = layers;
  while (step?.engine) {
    const { fromLayer } = step;
    parts.unshift({ engineId: step.engine.engineId, fromLayer, toLayer });
    toLayer = fromLayer;
    step = step.previous;
  }
  return parts;
}

// An engine may stand in a path once: what lies between two of its parts it
// holds itself, for its range has no gaps.
function joinParts(parts: readonly PathPart[]): PathPart[] {
  const first = new Map<string, number>();
  const joined: PathPart[] = [];
  for (const part of parts) {
    const at = first.get(part.engineId);
    if (at === undefined) {
      first.set(part.engineId, joined.length);
      joined.push(part);
      continue;
    }
    for (const { engineId } of joined.splice(at + 1)) first.delete(engineId);
    joined[at] = { ...joined[at], toLayer: part.toLayer };
  }
  return joined;
}
