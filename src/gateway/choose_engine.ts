/**
 * Chooses the upstream of a plain request.
 *
 * @module
 */

import { type EngineView, getFailureShare } from "./engine_view.ts";

/** What the choice goes by. */
export interface ChooseEngineOptions {
  readonly place: string;
  /** Upstreams that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** A number in [0, 1). */
  readonly random: number;
}

/** Load, as a share of the slots, that another data centre is worth. */
const OTHER_PLACE_LOAD = 0.25;

/** Load, as a share of the slots, that failing always is worth. */
const FAILURE_LOAD = 4;

/** Load, as a share of the slots, within which chance decides. */
const CHANCE_LOAD = 0.15;

/**
 * Chooses the upstream with the least expected load; failures, distance and
 * chance count as load.
 *
 * @param engines - The upstreams that take new work.
 * @param options - Where the gateway is, who was tried, chance.
 * @returns The upstream, or undefined where none is left.
 * @throws Nothing.
 * @example
 * const engine = chooseEngine(table.listUsable(service), options);
 */
export function chooseEngine(
  engines: readonly EngineView[],
  options: ChooseEngineOptions,
): EngineView | undefined {
  const { excluded, random } = options;
  const left = engines.filter(({ record, fullUntilMs }) =>
    !excluded.has(record.engineId) && fullUntilMs <= options.nowMs
  );
  if (left.length === 0) return undefined;
  const scores = left.map((engine) => getLoad(engine, options));
  const least = Math.min(...scores);
  const near = left.filter((_engine, at) => scores[at] <= least + CHANCE_LOAD);
  return near[Math.floor(random * near.length)];
}

function getLoad(engine: EngineView, options: ChooseEngineOptions): number {
  const { record, inFlight, otherRequests, toldLoad } = engine;
  const failureShare = getFailureShare(engine, options.nowMs);
  const known = (inFlight + otherRequests) / Math.max(1, record.slots);
  const distance = record.place === options.place ? 0 : OTHER_PLACE_LOAD;
  return Math.max(known, toldLoad) + failureShare * FAILURE_LOAD + distance;
}
