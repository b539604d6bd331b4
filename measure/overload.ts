/**
 * Overload: our admission and fair queue beside plain queues.
 *
 * @module
 */

import { type QueuePolicy, runOverloadModel } from "./overload_model.ts";
import { printTable } from "./print_table.ts";

const POLICIES: readonly QueuePolicy[] = [
  "ours",
  "bounded queue",
  "endless queue",
];

const LOADS = [0.5, 0.85, 1, 1.5, 2, 4];

/** Measures overload. */
export function measureOverload(): void {
  printTable(LOADS.flatMap((load) =>
    POLICIES.map((policy) => {
      // The small client account asks for the same whatever the large one does.
      const smallPart = 0.05 / load;
      const result = runOverloadModel({ policy, load, smallPart, seed: 1 });
      return {
        load,
        policy,
        goodput: result.goodput.toFixed(3),
        "small p99 ms": result.smallP99Ms,
        "small lost": result.smallLost.toFixed(4),
        "large p99 ms": result.largeP99Ms,
        "ran too late": result.wasted.toFixed(3),
      };
    })
  ));
}
