/**
 * Choice of paths by loads that are half a second old: refusals by engines where
 * gateways play through what the others have begun, and where they don't.
 *
 * @module
 */

import { playChoices } from "./choice_model.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** Streams that callers ask for in a second. */
const RATES_PER_S = [240, 300, 380];

/** Gateways over which they spread. */
const GATEWAY_COUNTS = [9, 64, 200];

/** Ms that are played. */
const SPAN_MS = 8_000;

/** Prints refusals and the time of a token, before and after. */
export function measureChoice(): void {
  const cases = GATEWAY_COUNTS.flatMap((gateways) =>
    RATES_PER_S.map((askedPerS) => ({ gateways, askedPerS }))
  );
  printTable(cases.map((one): TableRow => {
    const load = { ...one, spanMs: SPAN_MS, seed: 7 };
    const before = playChoices({ ...load, expectsOthers: false });
    const after = playChoices({ ...load, expectsOthers: true });
    return {
      gateways: one.gateways,
      "asked/s": one.askedPerS,
      "refusals a stream, as told": (before.refusals / before.asked).toFixed(2),
      "refusals, others expected": (after.refusals / after.asked).toFixed(2),
      "not begun, as told": (1 - before.begun / before.asked).toFixed(3),
      "not begun, others expected": (1 - after.begun / after.asked).toFixed(3),
      "token ms": `${before.tokenMs.toFixed(2)}, ${after.tokenMs.toFixed(2)}`,
    };
  }));
}
