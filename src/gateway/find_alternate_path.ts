/**
 * Finds another path for a running stream.
 *
 * @module
 */

import {
  type ChooseCallPathOptions,
  getCallTokens,
  holdsCompleteCopy,
  MAX_CROSS_PLACE_PROMPTS_RESUMED,
} from "./choose_call_path.ts";
import { choosePath } from "./choose_path.ts";
import type { EngineView } from "./engine_view.ts";
import { getCallModel } from "./get_call_model.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** The path of a run, and the engines that it has to avoid. */
export interface FindAlternatePathOptions
  extends Pick<ChooseCallPathOptions, "excluded"> {
  /** The current path. */
  readonly path: readonly AddressedPart[];
}

/**
 * Finds another path for a running stream. The first part stays; the others may change,
 * to engines with free capacity in the data centres that the path uses already. Engines
 * that have already read the stream are preferred. A path through a further data centre
 * would send all tokens read so far over the shared link, while reading them again
 * within one data centre takes far less time. It is allowed only where no data centre
 * holds all layers, so that the stream would need the link on any other path too.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - The current path, and the engines to avoid.
 * @returns The path, or undefined where there is none.
 * @throws Nothing.
 * @example
 * const path = findAlternatePath(call, context, { path: current, excluded });
 */
export function findAlternatePath(
  call: Call,
  context: ServingContext,
  options: FindAlternatePathOptions,
): AddressedPart[] | undefined {
  const { engines } = context;
  const { path } = options;
  const model = getCallModel(call, context);
  const [place, ...otherPlaces] = listPlaces(path, context);
  if (!model || place === undefined) return undefined;
  const usable = engines.listUsable(call.service);
  const hasLinkPlace =
    engines.getCrossPlacePrompts() < MAX_CROSS_PLACE_PROMPTS_RESUMED;
  const pathPlaces = hasLinkPlace ? [place, ...otherPlaces] : [place];
  const near = usable.filter(({ record }) => pathPlaces.includes(record.place));
  const search = (candidates: readonly EngineView[]) =>
    findFrom(candidates, { call, context, place, ...options });
  const nearPath = search(near);
  if (nearPath || !hasLinkPlace || holdsCompleteCopy(usable, model)) {
    return nearPath;
  }
  return search(usable);
}

// Data centres of the engines of a path, that of the first one first.
function listPlaces(
  path: readonly AddressedPart[],
  { engines }: ServingContext,
): readonly (string | undefined)[] {
  const places = path.map(({ engineId }) =>
    engines.get(engineId)?.record.place
  );
  return [...new Set(places)];
}

function findFrom(
  candidates: readonly EngineView[],
  options: FindAlternatePathOptions & {
    readonly call: Call;
    readonly context: ServingContext;
    readonly place: string;
  },
): AddressedPart[] | undefined {
  const { call, context, place, path, excluded } = options;
  const [first, ...others] = path;
  const model = getCallModel(call, context);
  if (!model) return undefined;
  const nextParts = choosePath(candidates, {
    model,
    place,
    gatewayCount: context.getGatewayCount(),
    excluded: new Set([...excluded, first.engineId]),
    nowMs: context.now(),
    fromLayer: first.toLayer,
    cachedEngineIds: new Set(others.map(({ engineId }) => engineId)),
    // An engine whose memory runs out drops the newest stream.
    need: { tokens: getCallTokens(call, model), isNew: true },
  });
  return nextParts && [first, ...nextParts];
}
