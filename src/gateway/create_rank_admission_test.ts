import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { createRankAdmission } from "./create_rank_admission.ts";
import type { ServingContext } from "./types.ts";

function makeContext(
  random: () => number,
  options: { readonly isShort?: boolean } = {},
) {
  const counted: string[] = [];
  const metrics = { count: (name: string) => void counted.push(name) };
  // One in four requests is of rank 0, and as many are of rank 1.
  const recent = new Map([["s 0", 1], ["s 1", 1], ["s 2", 2]]);
  const noted: string[] = [];
  const rankTally = {
    note: (name: string) => void noted.push(name),
    get: (name: string) => recent.get(name) ?? 0,
  };
  const short: string[] = [];
  const urgentShortage = {
    note: (service: string, rank: number) =>
      void short.push(`${service} ${rank}`),
    isShort: () => options.isShort ?? true,
  };
  const context = {
    random,
    metrics,
    rankTally,
    urgentShortage,
  } as unknown as ServingContext;
  return { context, counted, noted, short };
}

test("a call of the most urgent rank draws nothing and may use 0.95", () => {
  const { context } = makeContext(() => {
    throw new Error("a random number was drawn");
  });
  for (const rankCount of [0, 1, 3]) {
    const { maxShare, isExempt } = createRankAdmission(
      { service: "s", rank: 0, rankCount },
      context,
    );
    assert.is(maxShare, 0.95);
    assert.not(isExempt);
  }
});

test("one in eight of the less urgent calls competes as the most urgent do", () => {
  const { context } = makeContext(createRandomSource(1).number);
  const admissions = Array.from(
    { length: 10_000 },
    () => createRankAdmission({ service: "s", rank: 2, rankCount: 3 }, context),
  );
  const exempt = admissions.filter(({ isExempt }) => isExempt);
  assert.ok(Math.abs(exempt.length - 1_250) < 100, String(exempt.length));
  assert.ok(
    admissions.every(({ isExempt, maxShare }) =>
      Math.abs(maxShare - (isExempt ? 0.95 : 0.875)) < 1e-9
    ),
  );
});

test("a call that its rank keeps waiting is counted once, other calls aren't", () => {
  const { context, counted } = makeContext(() => 0.5);
  const call = { service: "s", rank: 1, rankCount: 2 };
  const held = createRankAdmission(call, context);
  held.noteFull();
  held.noteFull();
  assert.equal(counted, ["admission.held"]);
  createRankAdmission({ ...call, rank: 0 }, context).noteFull();
  const exempting = { ...context, random: () => 0.05 };
  createRankAdmission(call, exempting).noteFull();
  assert.is(counted.length, 1);
});

test("nothing is reserved while more urgent calls find capacity", () => {
  const { context } = makeContext(() => 0.5, { isShort: false });
  const call = { service: "s", rank: 2, rankCount: 3 };
  assert.is(createRankAdmission(call, context).maxShare, 0.95);
});

test("a call that finds no capacity is recorded by its rank, an exempt one by rank 0", () => {
  const { context, short } = makeContext(() => 0.5);
  const call = { service: "s", rank: 1, rankCount: 3 };
  createRankAdmission(call, context).noteFull();
  createRankAdmission(call, { ...context, random: () => 0.05 }).noteFull();
  createRankAdmission({ ...call, rankCount: 1 }, context).noteFull();
  assert.equal(short, ["s 1", "s 0"]);
});

test("new streams are counted by rank, unless the service has only one", () => {
  const { context, noted } = makeContext(() => 0.5);
  createRankAdmission({ service: "s", rank: 1, rankCount: 2 }, context);
  createRankAdmission({ service: "s", rank: 0, rankCount: 1 }, context);
  assert.equal(noted, ["s 1"]);
});

test.run();
