/**
 * Routing policies: the production policy and the baselines it is compared with.
 *
 * @module
 */

import { chooseUpstream } from "../src/routing/index.ts";
import type { ModelView, Policy } from "./routing_model.ts";

/** The policy that entries use in production. */
export const chooseProduction: Policy = (views, { nowMs, random }) =>
  chooseUpstream(views, { nowMs, random: random.number() }) as
    | ModelView
    | undefined;

/** Round-robin. */
export const chooseRoundRobin: Policy = (views, { count }) =>
  views[count % views.length];

/** Lowest load by the last report, ties broken at random. */
export const chooseLeastReported: Policy = (views, { random }) => {
  const minLoad = Math.min(...views.map((view) => view.reportedLoad));
  const candidates = views.filter((view) => view.reportedLoad === minLoad);
  return random.pick(candidates);
};

/** Power of two choices, by the last reported load plus the entry's requests. */
export const chooseTwoRandom: Policy = (views, { random }) => {
  const first = random.pick(views);
  const second = random.pick(views);
  const load = (view: typeof first) => view.reportedLoad + view.inFlight;
  return load(first) <= load(second) ? first : second;
};

/** Random, weighted by the declared speed. */
export const chooseBySpeed: Policy = (views, { random }) => {
  const total = views.reduce((sum, view) => sum + view.speedPerS, 0);
  let remaining = random.number() * total;
  for (const view of views) {
    remaining -= view.speedPerS;
    if (remaining <= 0) return view;
  }
  return views[0];
};
