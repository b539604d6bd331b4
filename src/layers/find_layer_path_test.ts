import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import {
  findLayerPath,
  type FindLayerPathOptions,
  type PathEngine,
} from "./find_layer_path.ts";
import type { PathPart } from "./types.ts";

const OPTIONS: FindLayerPathOptions = {
  layers: 8,
  place: "p0",
  hopCost: 0.3,
  entryPlaceCost: 2,
  placeCost: 5,
  maxParts: 8,
};

function makeEngines(seed: number, count: number): PathEngine[] {
  const drawInteger = createRandomSource(seed).integer;
  return Array.from({ length: count }, (_, at) => {
    const fromLayer = drawInteger(0, 2) === 0 ? 0 : drawInteger(0, 7);
    return {
      engineId: `e${at}`,
      place: `p${drawInteger(0, 2)}`,
      fromLayer,
      toLayer: Math.min(8, fromLayer + drawInteger(1, 5)),
      layerCost: drawInteger(1, 100) / 10,
      firstCost: drawInteger(0, 9) === 0 ? undefined : drawInteger(0, 50) / 10,
    };
  });
}

function getCost(
  parts: readonly PathPart[],
  engines: readonly PathEngine[],
  options: FindLayerPathOptions = OPTIONS,
): number {
  let place: string | undefined;
  return parts.reduce((cost, part) => {
    const engine = engines.find((one) => one.engineId === part.engineId);
    if (!engine) throw new Error("No such engine");
    const arrivalCost = place === undefined
      ? (engine.place === options.place ? 0 : options.entryPlaceCost) +
        (engine.firstCost ?? Infinity)
      : (engine.place === place ? 0 : options.placeCost ?? Infinity);
    place = engine.place;
    const layerCount = part.toLayer - part.fromLayer;
    return cost + options.hopCost + arrivalCost + layerCount * engine.layerCost;
  }, 0);
}

/** Finds the lowest cost of all paths by exhaustive search. */
function findLowestCost(engines: readonly PathEngine[]): number {
  function search(parts: readonly PathPart[]): number {
    const fromLayer = parts.at(-1)?.toLayer ?? 0;
    if (fromLayer === OPTIONS.layers) return getCost(parts, engines);
    let lowest = Infinity;
    for (const { engineId, ...range } of engines) {
      if (parts.some((part) => part.engineId === engineId)) continue;
      if (range.fromLayer > fromLayer) continue;
      for (let end = fromLayer + 1; end <= range.toLayer; end++) {
        const part = { engineId, fromLayer, toLayer: end };
        lowest = Math.min(lowest, search([...parts, part]));
      }
    }
    return lowest;
  }
  return search([]);
}

test("finds the cheapest path", () => {
  for (let seed = 1; seed <= 60; seed++) {
    const engines = makeEngines(seed, 6);
    const path = findLayerPath(engines, OPTIONS);
    const cost = path ? getCost(path, engines) : Infinity;
    const lowestCost = findLowestCost(engines);
    assert.ok(
      cost === lowestCost || Math.abs(cost - lowestCost) < 1e-9,
      `seed ${seed}: ${cost}, ${lowestCost}`,
    );
  }
});

test("a path runs every layer once and in order, each engine once", () => {
  for (let seed = 1; seed <= 40; seed++) {
    const engines = makeEngines(seed, 30);
    const path = findLayerPath(engines, OPTIONS);
    if (!path) continue;
    const ends = path.map(({ toLayer }) => toLayer);
    assert.equal(path.map(({ fromLayer }) => fromLayer), [
      0,
      ...ends.slice(0, -1),
    ]);
    assert.is(ends.at(-1), OPTIONS.layers);
    assert.is(new Set(path.map((part) => part.engineId)).size, path.length);
  }
});

test("a path has at most the allowed number of parts", () => {
  const engines = Array.from({ length: 8 }, (_, layer) => ({
    engineId: `e${layer}`,
    place: "p0",
    fromLayer: layer,
    toLayer: layer + 1,
    layerCost: 1,
    firstCost: 0,
  }));
  assert.is(findLayerPath(engines, OPTIONS)?.length, 8);
  assert.is(findLayerPath(engines, { ...OPTIONS, maxParts: 7 }), undefined);
});

test.run();
