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
  const draw = createRandomSource(seed).integer;
  return Array.from({ length: count }, (_, at) => {
    const fromLayer = draw(0, 2) === 0 ? 0 : draw(0, 7);
    return {
      engineId: `e${at}`,
      place: `p${draw(0, 2)}`,
      fromLayer,
      toLayer: Math.min(8, fromLayer + draw(1, 5)),
      layerCost: draw(1, 100) / 10,
      firstCost: draw(0, 9) === 0 ? undefined : draw(0, 50) / 10,
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
    const awayCost = place === undefined
      ? (engine.place === options.place ? 0 : options.entryPlaceCost) +
        (engine.firstCost ?? Infinity)
      : (engine.place === place ? 0 : options.placeCost ?? Infinity);
    place = engine.place;
    const layerCount = part.toLayer - part.fromLayer;
    return cost + options.hopCost + awayCost + layerCount * engine.layerCost;
  }, 0);
}

/** The least cost of all paths, by trying them all. */
function findLeastCost(engines: readonly PathEngine[]): number {
  function search(parts: readonly PathPart[]): number {
    const fromLayer = parts.at(-1)?.toLayer ?? 0;
    if (fromLayer === OPTIONS.layers) return getCost(parts, engines);
    let least = Infinity;
    for (const { engineId, ...range } of engines) {
      if (parts.some((part) => part.engineId === engineId)) continue;
      if (range.fromLayer > fromLayer) continue;
      for (let to = fromLayer + 1; to <= range.toLayer; to++) {
        const part = { engineId, fromLayer, toLayer: to };
        least = Math.min(least, search([...parts, part]));
      }
    }
    return least;
  }
  return search([]);
}

test("no other path is cheaper", () => {
  for (let seed = 1; seed <= 60; seed++) {
    const engines = makeEngines(seed, 6);
    const path = findLayerPath(engines, OPTIONS);
    const cost = path ? getCost(path, engines) : Infinity;
    const leastCost = findLeastCost(engines);
    assert.ok(
      cost === leastCost || Math.abs(cost - leastCost) < 1e-9,
      `seed ${seed}: ${cost}, ${leastCost}`,
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

test("a path has no more parts than are allowed", () => {
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
