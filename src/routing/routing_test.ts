import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  chooseChain,
  chooseUpstream,
  computeEntryIntervals,
  computeIntervalShares,
  findRemainingBackOffMs,
  HEALTHY,
  rankEntries,
  updateHealth,
  type UpstreamView,
} from "./index.ts";

function makeView(
  name: string,
  overrides: Partial<UpstreamView> = {},
): UpstreamView {
  return {
    name,
    speedPerS: 100,
    roundTripMs: 1,
    inFlight: 0,
    share: 1,
    knownSinceMs: -1e9,
    ejectedUntilMs: 0,
    closed: false,
    ...overrides,
  };
}

const options = { nowMs: 0, random: 0.5 };

test("no upstream is chosen from an empty list", () => {
  assert.is(chooseUpstream([], options), undefined);
});

test("a closed upstream gets no new work, even if it is the only one", () => {
  const views = [makeView("a", { closed: true })];
  assert.is(chooseUpstream(views, options), undefined);
});

test("the upstream with the lowest expected time is chosen", () => {
  const views = [
    makeView("busy", { inFlight: 10 }),
    makeView("slow", { speedPerS: 1 }),
    makeView("free"),
    makeView("far", { roundTripMs: 100 }),
  ];
  assert.is(chooseUpstream(views, options)?.name, "free");
});

test("an upstream outside the entry's share is used only as a last resort", () => {
  const inside = makeView("inside", { share: 0.5, inFlight: 20 });
  const outside = makeView("outside", { share: 0 });
  assert.is(chooseUpstream([inside, outside], options)?.name, "inside");
  const closed = { ...inside, closed: true };
  assert.is(chooseUpstream([closed, outside], options)?.name, "outside");
});

test("ejections cannot leave a service without upstreams", () => {
  const ejected = { ejectedUntilMs: 1_000 };
  const some = [makeView("a", ejected), makeView("b"), makeView("c")];
  assert.is.not(chooseUpstream(some, options)?.name, "a");
  const most = [
    makeView("a", ejected),
    makeView("b", ejected),
    makeView("c", { inFlight: 50 }),
  ];
  assert.is.not(chooseUpstream(most, options)?.name, "c");
});

test("upstreams already tried are skipped while others remain", () => {
  const views = [makeView("a"), makeView("b", { inFlight: 9 })];
  const exclude = new Set(["a"]);
  assert.is(chooseUpstream(views, { ...options, exclude })?.name, "b");
  assert.is(chooseUpstream([views[0]], { ...options, exclude })?.name, "a");
});

test("a new upstream gets a small share at first", () => {
  const views = [
    makeView("old", { inFlight: 5 }),
    makeView("new", { knownSinceMs: 0 }),
  ];
  assert.is(chooseUpstream(views, options)?.name, "old");
  assert.is(chooseUpstream(views, { ...options, nowMs: 10_000 })?.name, "new");
});

test("a chain covers all layers without gaps or overlaps, or there is none", () => {
  const stage = (name: string, start: number, end: number) =>
    makeView(name, { layers: { start, end } });
  const views = [stage("a", 0, 4), stage("b", 4, 8), stage("c", 0, 3)];
  const names = chooseChain(views, 8, options)?.map((view) => view.name);
  assert.equal(names, ["a", "b"]);
  assert.is(chooseChain(views, 9, options), undefined);
  assert.is(chooseChain(views.slice(1), 8, options), undefined);
});

test("an upstream that asked for a back-off gets no requests, even if it is alone", () => {
  const backedOff = makeView("a", { backOffUntilMs: 1_000 });
  assert.is(chooseUpstream([backedOff], options), undefined);
  assert.is(chooseUpstream([backedOff, makeView("b")], options)?.name, "b");
  const afterBackOff = { ...options, nowMs: 1_000 };
  assert.is(chooseUpstream([backedOff], afterBackOff)?.name, "a");
});

test("the wait ends with the first back-off after which a complete chain is usable", () => {
  const views = [
    makeView("a", { layers: { start: 0, end: 4 }, backOffUntilMs: 500 }),
    makeView("b", { layers: { start: 4, end: 8 }, backOffUntilMs: 900 }),
    makeView("c", { layers: { start: 4, end: 8 }, backOffUntilMs: 700 }),
  ];
  const canSend = (nowMs: number) =>
    chooseChain(views, 8, { nowMs, random: 0 }) !== undefined;
  assert.is(findRemainingBackOffMs(views, { nowMs: 0, canSend }), 700);
  const never = { nowMs: 0, canSend: () => false };
  assert.is(findRemainingBackOffMs(views, never), undefined);
});

// Guards against ejecting all replicas of one stage because enough upstreams of
// the other stages remain.
test("ejections cannot leave a stage without upstreams", () => {
  const ejected = { ejectedUntilMs: 1_000 };
  const views = [
    makeView("a1", { layers: { start: 0, end: 4 } }),
    makeView("a2", { layers: { start: 0, end: 4 } }),
    makeView("b1", { layers: { start: 4, end: 8 }, ...ejected }),
    makeView("b2", { layers: { start: 4, end: 8 }, ...ejected }),
  ];
  assert.is(chooseChain(views, 8, options)?.length, 2);
});

test("every chosen chain starts at layer 0, has no gap and ends at the last layer", () => {
  const range = fc.tuple(fc.nat(11), fc.integer({ min: 1, max: 6 }));
  fc.assert(
    fc.property(fc.array(range, { maxLength: 30 }), (ranges) => {
      const views = ranges.map(([start, size], at) =>
        makeView(`e${at}`, { layers: { start, end: start + size } })
      );
      const chain = chooseChain(views, 12, options);
      let next = 0;
      for (const view of chain ?? []) {
        if (view.layers?.start !== next) return false;
        next = view.layers.end;
      }
      return chain === undefined || next === 12;
    }),
    { seed: 1 },
  );
});

test("the shares of all entries in an upstream add up to about 1", () => {
  const entries = Array.from({ length: 11 }, (_v, at) => ({
    entry: `e${String(at).padStart(2, "0")}`,
    demandPerS: 10,
  }));
  const upstreams = Array.from({ length: 40 }, (_v, at) => ({
    name: `u${at}`,
    speedPerS: 10 + 20 * (at % 3),
  }));
  const intervals = computeEntryIntervals(entries);
  const sums = upstreams.map(() => 0);
  for (const { entry } of entries) {
    computeIntervalShares(upstreams, intervals[entry])
      .forEach((share, at) => sums[at] += share);
  }
  const mean = sums.reduce((sum, share) => sum + share, 0) / sums.length;
  assert.ok(Math.abs(mean - 1) < 0.05);
  assert.ok(sums.every((sum) => sum > 0.5 && sum < 1.6));
});

test("an entry with more demand gets a larger interval, an idle one still some", () => {
  const intervals = computeEntryIntervals([
    { entry: "a", demandPerS: 90 },
    { entry: "b", demandPerS: 10 },
    { entry: "c", demandPerS: 0 },
  ]);
  assert.ok(intervals.a.part > 5 * intervals.b.part);
  assert.ok(intervals.c.part > 0);
});

test("consecutive failures eject an upstream, for longer each time", () => {
  let health = HEALTHY;
  for (let count = 0; count < 3; count++) {
    health = updateHealth(health, false, { nowMs: 0 });
  }
  assert.is(health.ejectedUntilMs, 2_000);
  health = updateHealth(health, false, { nowMs: 2_000 });
  assert.is(health.ejectedUntilMs, 6_000);
  assert.equal(updateHealth(health, true, { nowMs: 9_000 }), HEALTHY);
});

test("each client account gets its own stable order of entries, without leaving ones", () => {
  const entries = ["a", "b", "c", "d"].map((vm) => ({
    vm,
    place: vm < "c" ? "p1" : "p2",
    address: vm,
    leaving: vm === "d",
    overloaded: false,
  }));
  const rankVms = (clientAccount: string, place?: string) =>
    rankEntries(entries, { service: "s", clientAccount, place })
      .map((entry) => entry.vm);
  assert.is(rankVms("x").length, 3);
  assert.equal(rankVms("x"), rankVms("x"));
  const firsts = new Set(
    Array.from({ length: 40 }, (_v, at) => rankVms(`account-${at}`)[0]),
  );
  assert.is(firsts.size, 3);
  assert.is(rankVms("x", "p2")[0], "c");
  const loaded = entries.map((entry) =>
    entry.vm === rankVms("x")[0] ? { ...entry, overloaded: true } : entry
  );
  const ranked = rankEntries(loaded, { service: "s", clientAccount: "x" });
  assert.is(ranked[2].vm, rankVms("x")[0]);
});

test.run();
