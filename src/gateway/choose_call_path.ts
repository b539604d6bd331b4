/**
 * Chooses the path for the next run of a stream.
 *
 * @module
 */

import { getLinkTimeMs, NEW_WORK_SHARE } from "../admission/index.ts";
import { getMeanRequestTokens, hasCompleteCopy } from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import { chooseEngine } from "./choose_engine.ts";
import {
  choosePath,
  type ChoosePathOptions,
  type PathNeed,
} from "./choose_path.ts";
import type { EngineView } from "./engine_view.ts";
import { getLimitWaitMs } from "./get_limit_wait_ms.ts";
import {
  type EstimatedWork,
  estimateOtherWork,
} from "./estimate_other_work.ts";
import { getCallModel } from "./get_call_model.ts";
import { getBackOffWaitMs } from "./get_back_off_wait_ms.ts";
import { listSendableEngines } from "./list_sendable_engines.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Prompts that one gateway lets be read across data centres at a time. The activations
 * of a prompt take some 30 ms of the shared link between data centres: with ten
 * gateways and two prompts each, the last one waits for more than half a second. With
 * more of them, prompts delayed each other until callers left (inc-e89f).
 */
const MAX_CROSS_PLACE_PROMPTS = 2;

/**
 * The same with the prompts of streams that are resumed. These have been admitted once,
 * and there are no more of them than ran on the engines that were lost; their callers
 * leave after some 2 s without an event.
 */
const MAX_CROSS_PLACE_PROMPTS_RESUMED = 4;

/**
 * Admission share up to which a request leaves what became free to more urgent ones: a
 * fifth of the service's requests or more are more urgent then. Where hardly any are,
 * what became free would stay unused.
 */
const HELD_BACK_SHARE = 0.92;

const MS_PER_S = 1_000;

/** What the path has to avoid and to provide. */
export interface ChooseCallPathOptions {
  /** Engines that failed this call. */
  readonly excluded: ReadonlySet<string>;
  /** What the request needs on the engines of its path. */
  readonly need: PathNeed;
}

/** What a stream that is resumed needs to know of a search without a path. */
interface SearchFailure {
  /** Whether only the link between data centres denies a path; absent if not. */
  readonly isLinkDenied?: true;
}

/** The path of a run, or why there is none. */
export type CallPathChoice =
  | { readonly type: "path"; readonly path: AddressedPart[] }
  /** Engines hold all layers, but have no free capacity. */
  | { readonly type: "full" } & SearchFailure
  /** Engines that hold some of the layers have asked gateways to back off. */
  | {
    readonly type: "resting";
    /** Ms until a path can be used again. */
    readonly leftMs: number;
  }
  /** Engines that could start the request are at their rate limits. */
  | {
    readonly type: "limited";
    /** Ms until one of them may accept a request again. */
    readonly leftMs: number;
  }
  /** Some layers are held by no engine. */
  | { readonly type: "missing" } & SearchFailure;

/**
 * Chooses the path of a run: over several engines where the service's model is layered,
 * else a single engine that holds the whole model.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - What the path has to avoid and to provide.
 * @returns The path, or why there is none.
 * @throws Nothing.
 * @example
 * const choice = chooseCallPath(call, context, { excluded, need });
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
    const singlePath = chooseSingleEngine(call, context, options);
    if (singlePath) return { type: "path", path: singlePath };
    return findLimitWait(call, context) ?? findBackOffWait(call, context);
  }
  const usable = engines.listUsable(call.service);
  const startedRequests = estimateStartedRequests(call, context);
  const { promptTokens } = call.request;
  const linkTimeMs = getLinkTimeMs(model, { promptTokens });
  const isBelowPromptLimit = engines.getCrossPlacePrompts() <
    getMaxCrossPlacePrompts(call, context, need);
  const pathOptions = {
    model,
    place,
    gatewayCount: context.getGatewayCount(),
    maxUnreportedRequests: startedRequests,
    hasIdleConnection: context.upstreamTransport.hasIdleConnection,
    expected: estimateWork(usable, {
      call,
      context,
      model,
      startedRequests,
      isHeldBack: isHeldBack(need),
    }),
    drawRandomCost: startedRequests === Infinity ? context.random : undefined,
    excluded,
    canStartAt: rateLimits.maySend,
    // With a declared link, a path that only the link's budget denies counts as full.
    mayCrossPlaces: linkTimeMs !== undefined || isBelowPromptLimit,
    nowMs: now(),
  };
  const neededPathOptions = { ...pathOptions, need };
  const path = linkTimeMs === undefined
    ? choosePath(usable, neededPathOptions)
    : chooseAffordablePath(usable, {
      call,
      context,
      linkTimeMs,
      mayCrossPlaces: isBelowPromptLimit,
      pathOptions: neededPathOptions,
    });
  if (path && isUsablePath(path, context)) return { type: "path", path };
  const failure = need.isNew
    ? {}
    : describeFailure(usable, { context, pathOptions: neededPathOptions });
  const pathWithoutNeed = path ?? choosePath(usable, pathOptions);
  if (pathWithoutNeed) return { type: "full", ...failure };
  const limited = findLimitWait(call, context);
  if (
    limited && choosePath(usable, { ...pathOptions, canStartAt: undefined })
  ) {
    return limited;
  }
  const backOffWait = findBackOffWait(call, context, model);
  return backOffWait.type === "missing"
    ? { ...backOffWait, ...failure }
    : backOffWait;
}

// New requests leave the link to streams that have run and wait for it.
function getMaxCrossPlacePrompts(
  { service }: Call,
  { getResumeQueue }: ServingContext,
  { isNew }: PathNeed,
): number {
  if (!isNew) return MAX_CROSS_PLACE_PROMPTS_RESUMED;
  return getResumeQueue(service).isWaitingForLink()
    ? 0
    : MAX_CROSS_PLACE_PROMPTS;
}

function describeFailure(
  usable: readonly EngineView[],
  options: {
    readonly context: ServingContext;
    readonly pathOptions: ChoosePathOptions;
  },
): SearchFailure {
  const { context, pathOptions } = options;
  const path = choosePath(usable, { ...pathOptions, mayCrossPlaces: true });
  return path && isUsablePath(path, context) ? { isLinkDenied: true } : {};
}

function isUsablePath(
  path: readonly AddressedPart[],
  { engines, now }: ServingContext,
): boolean {
  return path.every(({ engineId }) =>
    (engines.get(engineId)?.fullUntilMs ?? 0) <= now()
  );
}

// A path that continues in another data centre is the last resort where the model
// declares the link between them.
function chooseAffordablePath(
  usable: readonly EngineView[],
  options: {
    readonly call: Call;
    readonly context: ServingContext;
    readonly linkTimeMs: number;
    readonly mayCrossPlaces: boolean;
    readonly pathOptions: ChoosePathOptions;
  },
): AddressedPart[] | undefined {
  const { call, context, linkTimeMs, mayCrossPlaces, pathOptions } = options;
  const { linkBudget, metrics } = context;
  const { service } = call;
  const localPath = choosePath(usable, {
    ...pathOptions,
    mayCrossPlaces: false,
  });
  if (localPath && isUsablePath(localPath, context)) return localPath;
  if (!mayCrossPlaces) return localPath;
  // Without a complete copy in any data centre all requests depend on the link. Its
  // budget would refuse most of them, and a late answer is better than none.
  if (!holdsCompleteCopy(usable, pathOptions.model)) {
    return choosePath(usable, { ...pathOptions, mayCrossPlaces: true });
  }
  if (!linkBudget.take(service, { linkTimeMs })) {
    metrics.count("linkBudget.denied");
    return localPath;
  }
  const crossingPath = choosePath(usable, {
    ...pathOptions,
    mayCrossPlaces: true,
  });
  if (crossingPath && isUsablePath(crossingPath, context)) {
    metrics.count("linkBudget.granted");
    return crossingPath;
  }
  linkBudget.giveBack(service, { linkTimeMs });
  return localPath;
}

function holdsCompleteCopy(
  engines: readonly EngineView[],
  model: LayeredModel,
): boolean {
  const ranges = engines.flatMap(({ record: { place, layers } }) =>
    layers ? [{ place, ...layers }] : []
  );
  return hasCompleteCopy(ranges, model);
}

function findLimitWait(
  call: Call,
  context: ServingContext,
): CallPathChoice | undefined {
  const leftMs = getLimitWaitMs(call, context);
  return leftMs === undefined ? undefined : { type: "limited", leftMs };
}

// Right after a back-off an engine accepts only a few requests at first, so capacity
// becomes free within a moment.
function findBackOffWait(
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

// Requests that callers sent to the fleet since the last load report, and those that
// had to leave lost engines. Infinite where the request rate is unknown.
function estimateStartedRequests(
  { service }: Call,
  context: ServingContext,
): number {
  const askedPerS = context.rates.getRequestsPerS(service);
  if (askedPerS === undefined) return Infinity;
  const asked = askedPerS * getLoadsAgeS(context);
  return asked + context.engines.getDisplacedRequests();
}

// What became free since the last report is left to more urgent requests: a less urgent
// one counts all that may have begun and nothing as ended. With the estimate of the most
// urgent ones, whose random part is drawn again each time that a request looks for
// capacity, less urgent ones soon draw a low one and fill engines beyond their share.
function isHeldBack({ isNew, maxShare = NEW_WORK_SHARE }: PathNeed): boolean {
  return isNew && maxShare <= HELD_BACK_SHARE;
}

function estimateWork(
  usable: readonly EngineView[],
  options: {
    readonly call: Call;
    readonly context: ServingContext;
    readonly model: LayeredModel;
    readonly startedRequests: number;
    readonly isHeldBack: boolean;
  },
): EstimatedWork | undefined {
  const { call, context, model, startedRequests, isHeldBack } = options;
  const { rates, random } = context;
  if (startedRequests === Infinity || startedRequests < 1) return undefined;
  const reportedRequests = usable.reduce(
    (sum, one) => sum + one.otherRequests,
    0,
  );
  const ended = getLoadsAgeS(context) * MS_PER_S /
    rates.getEndIntervalMs(call.service);
  const usualTokens = getMeanRequestTokens(model);
  const places = context.listGatewayPlaces();
  return estimateOtherWork({
    startedRequests,
    endedShare: isHeldBack
      ? 0
      : Math.min(1, ended / Math.max(1, reportedRequests)),
    countsAll: isHeldBack,
    usualTokens,
    choose: (expected) =>
      choosePath(usable, {
        model,
        place: places[Math.floor(random() * places.length)] ?? context.place,
        gatewayCount: 1,
        expected,
        // What a rate limit lets through is small compared with what goes to other
        // engines.
        canStartAt: (id) => context.rateLimits.getLimitPerS(id) === Infinity,
        mayCrossPlaces: model.placeLinkMbps === undefined,
        excluded: new Set(),
        nowMs: context.now(),
        need: { tokens: usualTokens, isNew: true },
      }),
    random,
  });
}

function chooseSingleEngine(
  call: Call,
  context: ServingContext,
  options: ChooseCallPathOptions,
): AddressedPart[] | undefined {
  const { place, now, random } = context;
  const engine = chooseEngine(listSendableEngines(call, context), {
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
 * Gets the tokens that a call will take on each engine of its path. Callers state the
 * maximum length of an answer; most answers are far shorter.
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
  const usualTokens = model?.usualAnswerTokens ?? request.maxAnswerTokens;
  return request.promptTokens + Math.min(usualTokens, request.maxAnswerTokens);
}

/**
 * Finds another path for a running stream. The first part stays; the others may change,
 * to engines in the first one's data centre that have free capacity. Engines that have
 * already read the stream are preferred. A path through another data centre would send
 * all tokens read so far over the shared link; reading them again within one data
 * centre takes far less time.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - The current path, and the engines to avoid.
 * @returns The path, or undefined where there is none in the data centre.
 * @throws Nothing.
 * @example
 * const path = findAlternatePath(call, context, { path: current, excluded });
 */
export function findAlternatePath(
  call: Call,
  context: ServingContext,
  options: Pick<ChooseCallPathOptions, "excluded"> & {
    /** The current path. */
    readonly path: readonly AddressedPart[];
  },
): AddressedPart[] | undefined {
  const { engines, now } = context;
  const { path, excluded } = options;
  const [first, ...others] = path;
  const model = getCallModel(call, context);
  const place = engines.get(first.engineId)?.record.place;
  if (!model || place === undefined) return undefined;
  const samePlaceEngines = engines.listUsable(call.service)
    .filter(({ record }) => record.place === place);
  const nextParts = choosePath(samePlaceEngines, {
    model,
    place,
    gatewayCount: context.getGatewayCount(),
    excluded: new Set([...excluded, first.engineId]),
    nowMs: now(),
    fromLayer: first.toLayer,
    cachedEngineIds: new Set(others.map(({ engineId }) => engineId)),
    // An engine whose memory runs out drops the newest stream.
    need: { tokens: getCallTokens(call, model), isNew: true },
  });
  return nextParts && [first, ...nextParts];
}
