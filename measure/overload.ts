/**
 * Measures overload: admission control with the fair queue, compared with FIFO queues.
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

/** Prints goodput, tail latency and losses by load and queue policy. */
export function measureOverload(): void {
  printTable(LOADS.flatMap((load) =>
    POLICIES.map((policy) => {
      // The small client account's request rate is the same at every load.
      const smallShare = 0.05 / load;
      const result = runOverloadModel({
        policy,
        load,
        smallShare,
        seed: 1,
      });
      return {
        load,
        policy,
        goodput: result.goodput.toFixed(3),
        "small p99 ms": result.smallP99Ms,
        "small lost": result.smallLostShare.toFixed(4),
        "large p99 ms": result.largeP99Ms,
        "ran too late": result.lateShare.toFixed(3),
      };
    })
  ));
}
