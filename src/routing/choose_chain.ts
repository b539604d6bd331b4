/**
 * Chooses a chain of pipeline stages for a model request.
 *
 * @module
 */

import { listUsableUpstreams } from "./list_usable_upstreams.ts";
import { scoreUpstream } from "./score_upstream.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/** Maximum relative jitter on a score; spreads load over upstreams with equal scores. */
const SCORE_JITTER = 0.02;

/** Last stage and total cost of the cheapest chain that ends at a layer. */
interface ChainNode {
  readonly costMs: number;
  readonly view?: UpstreamView;
}

/**
 * Chooses stages that cover all layers with the lowest expected time.
 *
 * This is a shortest path: layers are the nodes, and each upstream is an edge
 * from its first layer to the one after its last. Since the entry itself drives
 * each hop, the cost of an edge depends on that upstream alone.
 *
 * @param views - The upstreams; those without layers are ignored.
 * @param layerCount - Number of layers of the model.
 * @param options - The time, a random number, the upstreams already tried.
 * @returns The stages in order, or undefined if some layer is not covered.
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
  const byStart = groupByStart(listUsableUpstreams(views, options));
  const bestAt: (ChainNode | undefined)[] = new Array(layerCount + 1);
  bestAt[0] = { costMs: 0 };
  for (let layer = 0; layer < layerCount; layer++) {
    const reached = bestAt[layer];
    if (!reached) continue;
    (byStart.get(layer) ?? []).forEach((view, at) => {
      const end = view.layers?.end ?? 0;
      if (end > layerCount) return;
      const jitter = 1 + SCORE_JITTER * ((random * 997 + at * 0.618) % 1);
      const costMs = reached.costMs + scoreUpstream(view, options) * jitter;
      const current = bestAt[end];
      if (!current || costMs < current.costMs) bestAt[end] = { costMs, view };
    });
  }
  return buildChain(bestAt, layerCount);
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

function buildChain(
  bestAt: readonly (ChainNode | undefined)[],
  layerCount: number,
): readonly UpstreamView[] | undefined {
  const chain: UpstreamView[] = [];
  let layer = layerCount;
  while (layer > 0) {
    const view = bestAt[layer]?.view;
    if (!view?.layers) return undefined;
    chain.unshift(view);
    layer = view.layers.start;
  }
  return chain;
}
