/**
 * Routing policies: ours and the baselines beside which it is measured.
 *
 * @module
 */

import { chooseUpstream } from "../src/routing/index.ts";
import type { ModelView, Policy } from "./routing_model.ts";

/** Our policy. */
export const chooseOurs: Policy = (views, { nowMs, random }) =>
  chooseUpstream(views, { nowMs, random: random.number() }) as
    | ModelView
    | undefined;

/** Each in its turn. */
export const chooseRoundRobin: Policy = (views, { count }) =>
  views[count % views.length];

/** The least load by the last report. */
export const chooseLeastReported: Policy = (views, { random }) => {
  const least = Math.min(...views.map((view) => view.reportedLoad));
  const equals = views.filter((view) => view.reportedLoad === least);
  return random.pick(equals);
};

/** The better of two drawn, by the last report and the own requests. */
export const chooseTwoRandom: Policy = (views, { random }) => {
  const first = random.pick(views);
  const second = random.pick(views);
  const load = (view: typeof first) => view.reportedLoad + view.inFlight;
  return load(first) <= load(second) ? first : second;
};

/** Drawn in proportion to the declared speed. */
export const chooseBySpeed: Policy = (views, { random }) => {
  const total = views.reduce((sum, view) => sum + view.speedPerS, 0);
  let left = random.number() * total;
  for (const view of views) {
    left -= view.speedPerS;
    if (left <= 0) return view;
  }
  return views[0];
};
