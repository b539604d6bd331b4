/**
 * Measures the choice of paths by loads that are up to half a second old: rejections
 * by engines with and without gateways estimating what the others have started.
 *
 * @module
 */

import { simulatePathChoice } from "./choice_model.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** Streams requested per second. */
const RATES_PER_S = [240, 300, 380];

/** Numbers of gateways that the streams are spread over. */
const GATEWAY_COUNTS = [9, 64, 200];

const DURATION_MS = 8_000;

/** Prints rejections and the time per token, without and with the estimate. */
export function measureChoice(): void {
  const cases = GATEWAY_COUNTS.flatMap((gateways) =>
    RATES_PER_S.map((askedPerS) => ({ gateways, askedPerS }))
  );
  printTable(cases.map((one): TableRow => {
    const load = { ...one, spanMs: DURATION_MS, seed: 7 };
    const before = simulatePathChoice({ ...load, estimatesOthers: false });
    const after = simulatePathChoice({ ...load, estimatesOthers: true });
    return {
      gateways: one.gateways,
      "asked/s": one.askedPerS,
      "refusals a stream, as told": (before.refusals / before.asked).toFixed(
        2,
      ),
      "refusals, others expected": (after.refusals / after.asked).toFixed(2),
      "not begun, as told": (1 - before.begun / before.asked).toFixed(3),
      "not begun, others expected": (1 - after.begun / after.asked).toFixed(
        3,
      ),
      "token ms": `${before.tokenMs.toFixed(2)}, ${after.tokenMs.toFixed(2)}`,
    };
  }));
}
