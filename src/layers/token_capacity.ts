/**
 * Memory of engines for tokens in flight, in addition to the layers that they hold.
 *
 * @module
 */

import type { LayerEngine, ModelProfile } from "./types.ts";

const BYTES_PER_MB = 1e6;

/** Steps of the binary search for the tokens in flight; its error is below one token. */
const SEARCH_STEPS = 30;

/**
 * Gets the number of layers that an engine can hold together with tokens in flight.
 *
 * @param memoryMb - The engine's memory in MB.
 * @param profile - Layer sizes, load and step times of the model.
 * @param options - Tokens in flight that the engine has to have memory for.
 * @returns The number of layers, rounded down.
 * @throws Nothing.
 * @example
 * getLayerCapacity(21_600, profile, { tokens: 50_000 });
 */
export function getLayerCapacity(
  memoryMb: number,
  profile: ModelProfile,
  options: { tokens: number },
): number {
  const { layers, layerMb } = profile;
  const cacheMb = options.tokens * getLayerTokenMb(profile);
  return Math.min(layers, Math.floor(memoryMb / (layerMb + cacheMb)));
}

/**
 * Gets the number of tokens in flight that an engine can hold together with its layers.
 *
 * @param memoryMb - The engine's memory in MB.
 * @param profile - Layer sizes, load and step times of the model.
 * @param options - Number of layers that the engine holds.
 * @returns The number of tokens, not rounded.
 * @throws Nothing.
 * @example
 * getTokenCapacity(21_600, profile, { layerCount: 8 });
 */
export function getTokenCapacity(
  memoryMb: number,
  profile: ModelProfile,
  options: { layerCount: number },
): number {
  const { layerCount } = options;
  const freeMb = memoryMb - layerCount * profile.layerMb;
  return Math.max(0, freeMb / (layerCount * getLayerTokenMb(profile)));
}

// Memory that a token takes for each layer that an engine holds, in MB.
function getLayerTokenMb({ layers, kvTokenBytes }: ModelProfile): number {
  return kvTokenBytes / layers / BYTES_PER_MB;
}

/**
 * Finds the maximum number of tokens in flight of a copy over a group of engines. A
 * request takes memory on every engine of its path, so the engine with the least free
 * memory is the limit, and the maximum is reached when all engines have memory for the
 * same number of tokens.
 *
 * @param engines - The engines of the group.
 * @param profile - Layer sizes, load and step times of the model.
 * @returns The number of tokens, or undefined if the group can't hold a copy.
 * @throws Nothing.
 * @example
 * const tokens = findTokensInFlight(engines, profile);
 */
export function findTokensInFlight(
  engines: readonly Pick<LayerEngine, "memoryMb">[],
  profile: ModelProfile,
): number | undefined {
  const fitsWith = (tokens: number) => {
    const capacities = engines.map(({ memoryMb }) =>
      getLayerCapacity(memoryMb, profile, { tokens })
    );
    return capacities.reduce((sum, capacity) => sum + capacity, 0) >=
      profile.layers;
  };
  if (!fitsWith(0)) return undefined;
  const totalMb = engines.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
  const tokenBytes = Math.max(1, profile.kvTokenBytes);
  let low = 0;
  let high = totalMb * BYTES_PER_MB / tokenBytes;
  for (let iteration = 0; iteration < SEARCH_STEPS; iteration++) {
    const middle = (low + high) / 2;
    if (fitsWith(middle)) low = middle;
    else high = middle;
  }
  return Math.floor(low);
}
