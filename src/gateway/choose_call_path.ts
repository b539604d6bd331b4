/**
 * Chooses where a stream's next run goes.
 *
 * @module
 */

import { getUsualTokens } from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import { chooseEngine } from "./choose_engine.ts";
import { choosePath, type PathNeed } from "./choose_path.ts";
import type { EngineView } from "./engine_view.ts";
import { getLimitWaitMs } from "./get_limit_wait_ms.ts";
import { type ExpectedWork, expectOthers } from "./expect_others.ts";
import { getBackOffWaitMs } from "./get_back_off_wait_ms.ts";
import { listSendable } from "./list_sendable.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Prompts of one gateway that are read across data centres at a time. The
 * activations of a prompt take some 30 ms of the pipe that all share: with ten
 * gateways the last of two each waits for a good half second. More of them stood
 * in each other's way until callers left (inc-e89f).
 */
const MAX_CROSSING_PROMPTS = 2;

const MS_PER_S = 1_000;

/** Who is left out. */
export interface ChooseCallPathOptions {
  /** Engines that failed this call. */
  readonly excluded: ReadonlySet<string>;
  /** What the request needs on the engines of its path. */
  readonly need: PathNeed;
}

/** Where a run goes. */
export type CallPathChoice =
  | { readonly type: "path"; readonly path: AddressedPart[] }
  /** Engines hold all layers, but have no room. */
  | { readonly type: "full" }
  /** Engines that hold some layers have asked gateways to back off. */
  | {
    readonly type: "resting";
    /** Ms after which a path can be used again. */
    readonly leftMs: number;
  }
  /** Engines that could begin it are at their rate limits. */
  | {
    readonly type: "limited";
    /** Ms after which one of them may have a send left. */
    readonly leftMs: number;
  }
  /** Nobody holds some layers. */
  | { readonly type: "missing" };

/**
 * Chooses the path of a run: over parts where the service's model is layered,
 * else one engine with everything.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - Who is left out.
 * @returns The path, or why there is none.
 * @throws Nothing.
 * @example
 * const choice = chooseCallPath(call, context, { excluded });
 */
export function chooseCallPath(
  call: Call,
  context: ServingContext,
  options: ChooseCallPathOptions,
): CallPathChoice {
  const { engines, place, now, rateLimits } = context;
  const { excluded, need } = options;
  const model = getCallModel(call, context);
  if (!model) {
    const whole = chooseWhole(call, context, options);
    if (whole) return { type: "path", path: whole };
    return explainLimit(call, context) ?? explainMissing(call, context);
  }
  const usable = engines.listUsable(call.service);
  const begunRequests = getBegunRequests(call, context);
  const by = {
    model,
    place,
    gatewayCount: context.getGatewayCount(),
    mostGrowth: begunRequests,
    hasIdleConnection: context.exchanger.hasIdleConnection,
    expected: expectWork(usable, { call, context, model, begunRequests }),
    drawBlindly: begunRequests === Infinity ? context.random : undefined,
    excluded,
    mayBegin: rateLimits.hasSendLeft,
    mayCross: engines.getCrossingPrompts() < MAX_CROSSING_PROMPTS,
    nowMs: now(),
  };
  const path = choosePath(usable, { ...by, need });
  if (path && !path.some(hasJustRefused)) return { type: "path", path };
  const isHeld = path ?? choosePath(usable, by);
  if (isHeld) return { type: "full" };
  const limited = explainLimit(call, context);
  if (limited && choosePath(usable, { ...by, mayBegin: undefined })) {
    return limited;
  }
  return explainMissing(call, context, model);

  function hasJustRefused({ engineId }: AddressedPart): boolean {
    return (engines.get(engineId)?.fullUntilMs ?? 0) > now();
  }
}

function explainLimit(
  call: Call,
  context: ServingContext,
): CallPathChoice | undefined {
  const leftMs = getLimitWaitMs(call, context);
  return leftMs === undefined ? undefined : { type: "limited", leftMs };
}

// Right after a back-off an engine takes a few requests at first: there is room in a moment.
function explainMissing(
  { service }: Call,
  { engines, notices }: ServingContext,
  model?: LayeredModel,
): CallPathChoice {
  const layers = model?.layers;
  const leftMs = getBackOffWaitMs({ engines, notices, service, layers });
  if (leftMs === undefined) return { type: "missing" };
  return leftMs > 0 ? { type: "resting", leftMs } : { type: "full" };
}

function getLoadsAgeS({ engines }: ServingContext): number {
  return engines.getLoadsAgeMs() / MS_PER_S;
}

// What callers asked of the fleet since loads were told, and what had to leave
// lost engines; unbounded where nothing is known of it.
function getBegunRequests({ service }: Call, context: ServingContext): number {
  const askedPerS = context.rates.getAskedPerS(service);
  if (askedPerS === undefined) return Infinity;
  const asked = askedPerS * getLoadsAgeS(context);
  return asked + context.engines.getDisplacedRequests();
}

function expectWork(
  usable: readonly EngineView[],
  options: {
    readonly call: Call;
    readonly context: ServingContext;
    readonly model: LayeredModel;
    readonly begunRequests: number;
  },
): ExpectedWork | undefined {
  const { call, context, model, begunRequests } = options;
  const { rates, random } = context;
  if (begunRequests === Infinity || begunRequests < 1) return undefined;
  const told = usable.reduce((sum, one) => sum + one.otherRequests, 0);
  const ended = getLoadsAgeS(context) * MS_PER_S /
    rates.getEndIntervalMs(call.service);
  const usualTokens = getUsualTokens(model);
  const places = context.listGatewayPlaces();
  return expectOthers({
    begunRequests,
    endedShare: Math.min(1, ended / Math.max(1, told)),
    usualTokens,
    choose: (expected) =>
      choosePath(usable, {
        model,
        place: places[Math.floor(random() * places.length)] ?? context.place,
        gatewayCount: 1,
        expected,
        // What a limit lets through is little beside what goes elsewhere.
        mayBegin: (id) => context.rateLimits.getLimitPerS(id) === Infinity,
        excluded: new Set(),
        nowMs: context.now(),
        need: { tokens: usualTokens, isNew: true },
      }),
    random,
  });
}

function chooseWhole(
  call: Call,
  context: ServingContext,
  options: ChooseCallPathOptions,
): AddressedPart[] | undefined {
  const { place, now, random } = context;
  const engine = chooseEngine(listSendable(call, context), {
    place,
    excluded: options.excluded,
    nowMs: now(),
    random: random(),
  });
  if (!engine) return undefined;
  const { engineId, address } = engine.record;
  return [{ engineId, address, fromLayer: 0, toLayer: 0 }];
}

/**
 * Gets the tokens that a call will take on each engine of its path. Callers name the
 * most that an answer may hold; most hold far less.
 *
 * @param call - The call.
 * @param model - Its model; undefined where the service has none.
 * @returns The tokens.
 * @throws Nothing.
 * @example
 * const tokens = getCallTokens(call, getCallModel(call, context));
 */
export function getCallTokens(
  { request }: Pick<Call, "request">,
  model: Pick<LayeredModel, "usualAnswerTokens"> | undefined,
): number {
  const usualTokens = model?.usualAnswerTokens ?? request.answerTokens;
  return request.promptTokens + Math.min(usualTokens, request.answerTokens);
}

/**
 * Finds another way for a running stream: the first part stays, the others may
 * change, all in the first one's data centre, to engines that have room. Those that
 * have read the stream are preferred. Through another data centre every token
 * read so far would cross the pipe that all share; to read it anew in one place
 * takes far less.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - The way that it runs, and who is left out.
 * @returns The path, or undefined where there is none near by.
 * @throws Nothing.
 * @example
 * const detour = findDetour(call, context, { path, excluded });
 */
export function findDetour(
  call: Call,
  context: ServingContext,
  options: Pick<ChooseCallPathOptions, "excluded"> & {
    /** The way that it runs now. */
    readonly path: readonly AddressedPart[];
  },
): AddressedPart[] | undefined {
  const { engines, now } = context;
  const { path, excluded } = options;
  const [first, ...others] = path;
  const model = getCallModel(call, context);
  const place = engines.get(first.engineId)?.record.place;
  if (!model || place === undefined) return undefined;
  const near = engines.listUsable(call.service)
    .filter(({ record }) => record.place === place);
  const rest = choosePath(near, {
    model,
    place,
    gatewayCount: context.getGatewayCount(),
    excluded: new Set([...excluded, first.engineId]),
    nowMs: now(),
    fromLayer: first.toLayer,
    holders: new Set(others.map(({ engineId }) => engineId)),
    // An engine whose memory runs out cuts the newest stream off.
    need: { tokens: getCallTokens(call, model), isNew: true },
  });
  return rest && [first, ...rest];
}

/**
 * Gets the layered model of a call's service.
 *
 * @param call - The call.
 * @param context - The configuration in force.
 * @returns The model, or undefined where the service has none.
 * @throws Nothing.
 * @example
 * const model = getCallModel(call, context);
 */
export function getCallModel(
  call: Call,
  context: Pick<ServingContext, "getTable">,
): LayeredModel | undefined {
  return context.getTable()?.getService(call.service)?.model;
}
