import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSuspectedEnds } from "./create_suspected_ends.ts";

function makeEnds() {
  const state = { nowMs: 0, ended: new Set<string>() };
  const lines: string[] = [];
  const counts: string[] = [];
  const ends = createSuspectedEnds({
    hasEnded: (engineId) => state.ended.has(engineId),
    now: () => state.nowMs,
    log: (event, fields) => void lines.push(`${event} ${fields?.engineId}`),
    metrics: { count: (name) => void counts.push(name) },
  });
  return { state, lines, counts, ends };
}

// Guards against reports of a crash where only the path to an upstream is lost.
test("an upstream that stays registered is not logged as ended", () => {
  const { lines, counts, ends } = makeEnds();
  ends.note({ engineId: "e1", fields: {} });
  ends.handleRemoved("e2");
  assert.equal(lines, ["upstreamEndSuspected e1"]);
  assert.equal(counts, ["upstream.end_suspicions"]);
});

test("each suspected end is confirmed once when its upstream is removed", () => {
  const { state, lines, ends } = makeEnds();
  ends.note({ engineId: "e1", fields: {} });
  ends.note({ engineId: "e1", fields: {} });
  lines.length = 0;
  state.ended.add("e1");
  ends.handleRemoved("e1");
  ends.handleRemoved("e1");
  assert.equal(lines, ["upstreamEnded e1", "upstreamEnded e1"]);
});

test("an end is confirmed at once when the upstream was removed before", () => {
  const { state, lines, ends } = makeEnds();
  state.ended.add("e1");
  ends.note({ engineId: "e1", fields: {} });
  assert.equal(lines, ["upstreamEndSuspected e1", "upstreamEnded e1"]);
});

// An upstream may leave without draining, and one may be removed much later for
// another reason.
test("neither an upstream that still serves nor an old suspicion is confirmed", () => {
  const { state, lines, ends } = makeEnds();
  ends.note({ engineId: "serving", fields: {} });
  ends.note({ engineId: "old", fields: {} });
  lines.length = 0;
  ends.handleRemoved("serving");
  state.nowMs = 40_000;
  state.ended.add("old");
  ends.handleRemoved("old");
  assert.equal(lines, []);
});

test.run();
