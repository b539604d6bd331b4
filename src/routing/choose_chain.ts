/**
 * The choice of a chain of stages for a model request.
 *
 * @module
 */

import { listUsable } from "./list_usable.ts";
import { scoreUpstream } from "./score_upstream.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/** Part, at most, by which a score is varied to spread equal choices. */
const SPREAD = 0.02;

/** One link of the best chain up to a layer. */
interface Link {
  readonly costMs: number;
  readonly view?: UpstreamView;
}

/**
 * Chooses stages that cover all layers with the least expected time.
 *
 * Layers are nodes, upstreams are edges from their first layer to the one
 * after their last; the chain is the shortest path. Since the entry drives
 * each hop itself, an edge's cost depends on that upstream alone.
 *
 * @param views - What is known of the upstreams; those without layers are
 * left out.
 * @param layerCount - Layers of the model.
 * @param options - The time, a random number, those that were tried.
 * @returns The stages in order, or undefined where layers are not covered.
 * @throws Nothing.
 * @example
 * const chain = chooseChain(views, 32, { nowMs: 0, random: 0.5 });
 */
export function chooseChain(
  views: readonly UpstreamView[],
  layerCount: number,
  options: RoutingOptions,
): readonly UpstreamView[] | undefined {
  const { random } = options;
  const byStart = groupByStart(listUsable(views, options));
  const best: (Link | undefined)[] = new Array(layerCount + 1);
  best[0] = { costMs: 0 };
  for (let layer = 0; layer < layerCount; layer++) {
    const reached = best[layer];
    if (!reached) continue;
    (byStart.get(layer) ?? []).forEach((view, at) => {
      const end = view.layers?.end ?? 0;
      if (end > layerCount) return;
      const spread = 1 + SPREAD * ((random * 997 + at * 0.618) % 1);
      const costMs = reached.costMs + scoreUpstream(view, options) * spread;
      const known = best[end];
      if (!known || costMs < known.costMs) best[end] = { costMs, view };
    });
  }
  return readChain(best, layerCount);
}

function groupByStart(
  views: readonly UpstreamView[],
): Map<number, UpstreamView[]> {
  const byStart = new Map<number, UpstreamView[]>();
  for (const view of views) {
    if (!view.layers) continue;
    const group = byStart.get(view.layers.start);
    if (group) group.push(view);
    else byStart.set(view.layers.start, [view]);
  }
  return byStart;
}

function readChain(
  best: readonly (Link | undefined)[],
  layerCount: number,
): readonly UpstreamView[] | undefined {
  const chain: UpstreamView[] = [];
  let layer = layerCount;
  while (layer > 0) {
    const view = best[layer]?.view;
    if (!view?.layers) return undefined;
    chain.unshift(view);
    layer = view.layers.start;
  }
  return chain;
}
