/**
 * Chooses the upstream of a plain request.
 *
 * @module
 */

import type { EngineView } from "./create_engine_table.ts";

/** What the choice goes by. */
export interface ChooseEngineOptions {
  readonly place: string;
  /** Gateways that send to the same upstreams. */
  readonly gatewayCount: number;
  /** Upstreams that were tried already. */
  readonly excluded: ReadonlySet<string>;
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
  const left = engines.filter(({ record }) => !excluded.has(record.engineId));
  if (left.length === 0) return undefined;
  const scores = left.map((engine) => getLoad(engine, options));
  const least = Math.min(...scores);
  const near = left.filter((_engine, at) => scores[at] <= least + CHANCE_LOAD);
  return near[Math.floor(random * near.length)];
}

function getLoad(engine: EngineView, options: ChooseEngineOptions): number {
  const { record, inFlight, toldLoad, failureShare } = engine;
  const own = inFlight * options.gatewayCount / Math.max(1, record.slots);
  const distance = record.place === options.place ? 0 : OTHER_PLACE_LOAD;
  return Math.max(own, toldLoad) + failureShare * FAILURE_LOAD + distance;
}
