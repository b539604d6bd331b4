/**
 * Seeded random numbers for soak tests and measurements.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of random values. */
export interface RandomSource {
  /** A number in [0, 1). */
  number(): number;
  /** A whole number from `least` to `most`, both included. */
  integer(least: number, most: number): number;
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
  /** Returns one of the items, each with the same probability. */
  pick<Item>(items: readonly Item[]): Item;
  /** A number from the exponential distribution. */
  exponential(mean: number): number;
}

/** Creates a source of random values from a seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const number = () => uniformInt(generator, 0, 0x3fffffff) / 0x40000000;
  return {
    number,
    integer: (least, most) => uniformInt(generator, least, most),
    chance: (probability) => number() < probability,
    pick: (items) => items[Math.floor(number() * items.length)],
    exponential: (mean) => -Math.log(1 - number()) * mean,
  };
}
