import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { LayerRange } from "../engines/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import { chooseCallPath, findAlternatePath } from "./choose_call_path.ts";
import { createEngineNotices } from "./create_engine_notices.ts";
import type { FleetRates } from "./create_fleet_rates.ts";
import { createEngineTable } from "./create_engine_table.ts";
import type { Call, ServingContext } from "./types.ts";

const MODEL = makeLayeredModel();

const CALL = {
  service: "s",
  request: { promptTokens: 20, maxAnswerTokens: 20 },
} as Call;

const LOWER: LayerRange = { fromLayer: 0, toLayer: 4 };
const UPPER: LayerRange = { fromLayer: 4, toLayer: 8 };

/** Two engines for each half of the layers. */
function makeFleet() {
  const clock = { ms: 0 };
  const notices = createEngineNotices({
    steadyNow: () => clock.ms,
    random: () => 0,
    log: () => {},
    metrics: { count: () => {} },
  });
  const engines = createEngineTable({
    now: () => clock.ms,
    log: () => {},
    onRemoved: () => {},
    notices,
  });
  const records = Object.entries({ a1: LOWER, a2: LOWER, b1: UPPER, b2: UPPER })
    .map(([engineId, layers]) =>
      makeEngineRecord(engineId, { layers, card: "card", slots: 8 })
    );
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: records,
    gone: [],
  });
  const context = {
    engines,
    notices,
    rateLimits: makeRateLimits({ now: () => clock.ms }),
    place: "p",
    now: () => clock.ms,
    random: () => 0.5,
    getTable: () => ({ getService: () => ({ model: MODEL }) }),
    getGatewayCount: () => 1,
    listGatewayPlaces: () => ["p"],
    rates: { getRequestsPerS: () => undefined },
    upstreamTransport: { hasIdleConnection: () => true },
    getResumeQueue: () => ({ isWaitingForLink: () => false }),
  } as unknown as ServingContext;
  const backOff = (engineId: string, backOffMs: number) =>
    notices.record(engineId, { backOffMs, isLeaving: false });
  const choose = (excluded: readonly string[] = [], isNew = true) =>
    chooseCallPath(CALL, context, {
      excluded: new Set(excluded),
      need: { tokens: 20, isNew },
    });
  return { clock, context, notices, backOff, choose };
}

function listIds(choice: ReturnType<typeof chooseCallPath>): string[] {
  if (choice.type !== "path") return [choice.type];
  return choice.path.map(({ engineId }) => engineId);
}

test("a path doesn't start at an engine whose rate limit is used up", async () => {
  const { context, choose } = makeFleet();
  const { rateLimits } = context;
  rateLimits.applyLimits([{ engineId: "a1", limitPerS: 1, version: 1 }]);
  rateLimits.applyLimits([{ engineId: "b1", limitPerS: 1, version: 2 }]);
  // Without a leader, gateways have no send permits at first.
  await rateLimits.requestGrant("a1");
  await rateLimits.requestGrant("b1");
  // Gateways don't send to the later engines of a path, so their limits don't apply.
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("where all first engines are at their rate limits, the remaining time is returned", async () => {
  const { context, choose } = makeFleet();
  const { rateLimits } = context;
  for (const engineId of ["a1", "a2"]) {
    rateLimits.applyLimits([{ engineId, limitPerS: 1, version: 1 }]);
    await rateLimits.requestGrant(engineId);
  }
  assert.equal(choose(), { type: "limited", leftMs: 500 });
  assert.equal(choose(["a1"]), { type: "limited", leftMs: 500 });
  // An engine that failed this call but isn't limited may become usable in time.
  rateLimits.applyLimits([{ engineId: "a2", limitPerS: null, version: 2 }]);
  assert.is(choose(["a2"]).type, "missing");
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("capacity that is only expected to be free is left to more urgent requests", () => {
  const { context } = makeFleet();
  const rates = { getRequestsPerS: () => 10, getEndIntervalMs: () => 1 };
  const choose = (maxShare: number) =>
    chooseCallPath(CALL, {
      ...context,
      rates: rates as unknown as FleetRates,
    }, {
      excluded: new Set(),
      need: { tokens: 20, isNew: true, maxShare },
    }).type;
  const load = { tokens: 0, requests: 8 };
  context.engines.updateLoads({ a1: load, a2: load });
  // All reported requests are expected to have ended since.
  assert.is(choose(0.95), "path");
  assert.is(choose(0.9), "full");
});

test("no engine of a path is backed off", () => {
  const { backOff, choose } = makeFleet();
  backOff("a1", 500);
  backOff("b2", 500);
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("no engine of a path has announced that it is leaving", () => {
  const { notices, choose } = makeFleet();
  notices.record("a2", { isLeaving: true });
  notices.record("b1", { isLeaving: true });
  assert.equal(listIds(choose()), ["a1", "b2"]);
});

test("where back-offs leave no path, the time until there is one is returned", () => {
  const { clock, backOff, choose } = makeFleet();
  backOff("a1", 500);
  backOff("a2", 300);
  backOff("b1", 900);
  assert.equal(choose(), { type: "resting", leftMs: 300 });
  clock.ms = 300;
  assert.equal(listIds(choose()), ["a2", "b2"]);
});

test("engines that failed the call count as missing, not as backed off", () => {
  const { choose } = makeFleet();
  assert.equal(choose(["a1", "a2"]), { type: "missing" });
});

test("a running stream is not moved to an engine that is backed off", () => {
  const { context, backOff } = makeFleet();
  const path = [
    { engineId: "a1", address: "a1:80", ...LOWER },
    { engineId: "b1", address: "b1:80", ...UPPER },
  ];
  const excluded = new Set(["b1"]);
  const detour = findAlternatePath(CALL, context, { path, excluded });
  assert.equal(detour?.map(({ engineId }) => engineId), ["a1", "b2"]);
  backOff("b2", 500);
  assert.is(findAlternatePath(CALL, context, { path, excluded }), undefined);
});

/** One first engine, and two engines for each of the other ranges. */
function makeStreamPath() {
  const ranges = {
    f: { fromLayer: 0, toLayer: 2 },
    m1: { fromLayer: 2, toLayer: 5 },
    m2: { fromLayer: 2, toLayer: 5 },
    z1: { fromLayer: 5, toLayer: 8 },
    z2: { fromLayer: 5, toLayer: 8 },
  };
  const { context } = makeFleet();
  const records = Object.entries(ranges).map(([engineId, layers]) =>
    makeEngineRecord(engineId, { layers, card: "card", slots: 8 })
  );
  const { engines } = context;
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: records,
    gone: [],
  });
  const path = (["f", "m1", "z1"] as const).map((engineId) => ({
    engineId,
    address: `${engineId}:80`,
    ...ranges[engineId],
  }));
  const fill = (engineId: "m2" | "z1", tokens: number) =>
    engines.addWork([{ engineId, ...ranges[engineId] }], { tokens });
  const findIds = () =>
    findAlternatePath(CALL, context, { path, excluded: new Set(["m1"]) })
      ?.map(({ engineId }) => engineId);
  return { fill, findIds };
}

test("a stream that is moved stays on engines that have already read it", () => {
  const { fill, findIds } = makeStreamPath();
  fill("z1", 200);
  assert.equal(findIds(), ["f", "m2", "z1"]);
});

test("a stream is not moved to an engine without enough free memory", () => {
  const { fill, findIds } = makeStreamPath();
  fill("m2", 3_000_000);
  assert.is(findIds(), undefined);
});

/** A model whose requests share a declared link; a slow card costs far more than it. */
const LINKED_MODEL = makeLayeredModel({
  activationBytes: 1_000,
  placeLinkMbps: 1,
  cards: [
    { name: "card", memoryMb: 1_000, stepFactor: 1, readFactor: 1 },
    { name: "slow", memoryMb: 1_000, stepFactor: 100, readFactor: 1 },
  ],
});

/** Ms on the link of the call's 20 prompt tokens. */
const LINK_TIME_MS = 160;

/**
 * One engine with the lower layers; the upper ones are on a slow engine in its data
 * centre and on a fast one in another.
 */
function makeTwoPlaces(
  { isAllowed = true, model = LINKED_MODEL }: {
    isAllowed?: boolean;
    model?: LayeredModel;
  } = {},
) {
  const { clock, context, choose } = makeFleet();
  const { engines } = context;
  const records = [
    makeEngineRecord("lower", { layers: LOWER, card: "card", slots: 8 }),
    makeEngineRecord("near", { layers: UPPER, card: "slow", slots: 8 }),
    makeEngineRecord("far", {
      layers: UPPER,
      card: "card",
      slots: 8,
      place: "q",
    }),
  ];
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: records,
    gone: [],
  });
  const asked: number[] = [];
  const givenBack: number[] = [];
  const counted: string[] = [];
  Object.assign(context, {
    getTable: () => ({ getService: () => ({ model }) }),
    linkBudget: {
      take: (_service: string, { linkTimeMs }: { linkTimeMs: number }) => {
        asked.push(linkTimeMs);
        return isAllowed;
      },
      giveBack: (_service: string, { linkTimeMs }: { linkTimeMs: number }) => {
        givenBack.push(linkTimeMs);
      },
    },
    metrics: { count: (name: string) => counted.push(name) },
  });
  const fill = (engineId: string) =>
    engines.addWork([{ engineId, ...UPPER }], { tokens: 3_000_000 });
  return { asked, choose, clock, context, counted, engines, fill, givenBack };
}

test("a path within a data centre is taken although one across would be cheaper", () => {
  const { asked, choose, counted } = makeTwoPlaces();
  assert.equal(listIds(choose()), ["lower", "near"]);
  assert.equal(asked, []);
  assert.equal(counted, []);
});

test("where no path within a data centre is left, the link's budget allows one across", () => {
  const { asked, choose, counted, fill, givenBack } = makeTwoPlaces();
  fill("near");
  assert.equal(listIds(choose()), ["lower", "far"]);
  assert.equal(asked, [LINK_TIME_MS]);
  assert.equal(givenBack, []);
  assert.equal(counted, ["linkBudget.granted"]);
});

test("a path across that the link's budget denies counts as full, so that calls wait", () => {
  const { choose, counted, fill } = makeTwoPlaces({ isAllowed: false });
  fill("near");
  assert.equal(choose(), { type: "full" });
  assert.equal(counted, ["linkBudget.denied"]);
});

test("without a complete copy in any data centre no budget is asked for the link", () => {
  const { asked, choose, engines } = makeTwoPlaces({ isAllowed: false });
  engines.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [],
    gone: ["near"],
  });
  assert.equal(listIds(choose()), ["lower", "far"]);
  assert.equal(asked, []);
});

test("an engine that has just refused leaves no path within the data centre", () => {
  const { choose, clock, engines } = makeTwoPlaces();
  engines.noteFull("near");
  assert.equal(listIds(choose()), ["lower", "far"]);
  clock.ms = 1_000;
  assert.equal(listIds(choose()), ["lower", "near"]);
});

test("time on the link is given back where no path across is left either", () => {
  const { choose, counted, fill, givenBack } = makeTwoPlaces();
  fill("near");
  fill("far");
  assert.equal(choose(), { type: "full" });
  assert.equal(givenBack, [LINK_TIME_MS]);
  assert.equal(counted, []);
});

test("time on the link is given back where the path across has just refused", () => {
  const { choose, counted, engines, fill, givenBack } = makeTwoPlaces();
  fill("near");
  engines.noteFull("far");
  assert.equal(choose(), { type: "full" });
  assert.equal(givenBack, [LINK_TIME_MS]);
  assert.equal(counted, []);
});

test("two prompts that are read across data centres deny a third without the budget", () => {
  const { asked, choose, engines, fill } = makeTwoPlaces();
  fill("near");
  const path = [
    { engineId: "lower", ...LOWER },
    { engineId: "far", ...UPPER },
  ];
  engines.beginPrefill(path);
  const end = engines.beginPrefill(path);
  assert.equal(choose(), { type: "full" });
  assert.equal(asked, []);
  end();
  assert.equal(listIds(choose()), ["lower", "far"]);
});

for (
  const [link, model] of [
    ["declared", LINKED_MODEL],
    [
      "undeclared",
      { ...LINKED_MODEL, activationBytes: undefined, placeLinkMbps: undefined },
    ],
  ] as const
) {
  test(`streams that have run have places of their own on the ${link} link between data centres`, () => {
    const { choose, engines } = makeTwoPlaces({ model });
    engines.applyUpdate({
      type: "engines",
      isWhole: false,
      engines: [],
      gone: ["near"],
    });
    const path = [
      { engineId: "lower", ...LOWER },
      { engineId: "far", ...UPPER },
    ];
    for (let prompts = 0; prompts < 4; prompts++) {
      assert.equal(listIds(choose([], false)), ["lower", "far"]);
      engines.beginPrefill(path);
    }
    assert.is.not(choose().type, "path");
    const denied = choose([], false);
    assert.is.not(denied.type, "path");
    assert.is("isLinkDenied" in denied && denied.isLinkDenied, true);
  });

  test(`new requests leave the ${link} link to a stream that has run and waits for it`, () => {
    const { choose, context, engines } = makeTwoPlaces({ model });
    engines.applyUpdate({
      type: "engines",
      isWhole: false,
      engines: [],
      gone: ["near"],
    });
    assert.equal(listIds(choose()), ["lower", "far"]);
    Object.assign(context, {
      getResumeQueue: () => ({ isWaitingForLink: () => true }),
    });
    assert.is.not(choose().type, "path");
    assert.equal(listIds(choose([], false)), ["lower", "far"]);
  });
}

test("without a declared link, the cheaper path across is taken and no budget asked", () => {
  const { activationBytes: _, placeLinkMbps: __, ...model } = LINKED_MODEL;
  const { asked, choose, counted, engines } = makeTwoPlaces({
    model,
    isAllowed: false,
  });
  assert.equal(listIds(choose()), ["lower", "far"]);
  const path = [
    { engineId: "lower", ...LOWER },
    { engineId: "far", ...UPPER },
  ];
  engines.beginPrefill(path);
  engines.beginPrefill(path);
  assert.equal(listIds(choose()), ["lower", "near"]);
  // A call that only the limit of prompts keeps back waits for a path, not for capacity.
  engines.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [],
    gone: ["near"],
  });
  assert.equal(choose(), { type: "missing" });
  assert.equal(asked, []);
  assert.equal(counted, []);
});

test.run();
