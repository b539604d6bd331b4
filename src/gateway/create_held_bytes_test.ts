import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHeldBytes, type HeldBytes } from "./create_held_bytes.ts";

const KB = 1_024;
const MAX_BYTES = 1_024 * KB;

/** Opens the hold of an answer, and tells whether its reading is paused. */
function open(heldBytes: HeldBytes, upstreamId: string) {
  const answer = { isPaused: false, resumes: 0 };
  const hold = heldBytes.open({
    upstreamId,
    pause() {
      answer.isPaused = true;
    },
    resume() {
      answer.isPaused = false;
      answer.resumes += 1;
    },
  });
  return Object.assign(answer, { hold });
}

/** Resolves once the answers that may go on have been resumed. */
const resumed = () => new Promise<void>((resolve) => setImmediate(resolve));

test("answers up to 64 KB are never paused", () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const answers = Array.from({ length: 40 }, () => open(heldBytes, "a"));
  for (const { hold } of answers) hold.add(64 * KB);
  assert.not(answers.some(({ isPaused }) => isPaused));
  assert.is(heldBytes.getTotal(), 40 * 64 * KB);
});

test("beyond the limit the oldest answer is read on, and the others one by one as it ends", async () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const answers = ["a", "b", "c", "d", "e", "f"]
    .map((upstreamId) => open(heldBytes, upstreamId));
  for (const { hold } of answers) hold.add(200 * KB);
  for (const { hold } of answers) hold.add(10 * KB);
  const listPaused = () => answers.map(({ isPaused }) => isPaused);
  assert.equal(listPaused(), [false, true, true, true, true, true]);
  for (let at = 0; at < answers.length; at++) {
    assert.not(answers[at].isPaused, `answer ${at}`);
    // Its caller has not read it, so its bytes stay held.
    answers[at].hold.end();
    await resumed();
  }
  assert.is(heldBytes.getTotal(), 6 * 210 * KB);
});

test("bytes of an answer are held until they are released, and only once", async () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const [first, second, third] = ["a", "b", "c"]
    .map((upstreamId) => open(heldBytes, upstreamId));
  first.hold.add(MAX_BYTES);
  first.hold.end();
  second.hold.add(100 * KB);
  third.hold.add(100 * KB);
  assert.equal([second.isPaused, third.isPaused], [false, true]);
  first.hold[Symbol.dispose]();
  first.hold[Symbol.dispose]();
  await resumed();
  assert.not(third.isPaused);
  assert.is(heldBytes.getTotal(), 200 * KB);
  first.hold.add(KB);
  assert.is(heldBytes.getTotal(), 200 * KB);
});

test("an upstream that has its share is paused, and those of others are not", () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const own = Array.from({ length: 3 }, () => open(heldBytes, "a"));
  const other = open(heldBytes, "b");
  for (const { hold } of own) hold.add(100 * KB);
  other.hold.add(100 * KB);
  assert.equal(own.map(({ isPaused }) => isPaused), [false, false, true]);
  assert.not(other.isPaused);
});

test("one answer of each upstream is read on while the total is below the limit", () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const slow = open(heldBytes, "slow");
  slow.hold.add(100 * KB);
  const own = Array.from({ length: 3 }, () => open(heldBytes, "a"));
  for (const { hold } of own) hold.add(100 * KB);
  for (const { hold } of own) hold.add(KB);
  assert.equal(own.map(({ isPaused }) => isPaused), [false, true, true]);
});

test("an answer of which little is held does not keep the others waiting", () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const silent = open(heldBytes, "silent");
  const later = open(heldBytes, "a");
  silent.hold.add(KB);
  later.hold.add(1.5 * MAX_BYTES);
  assert.not(later.isPaused);
});

test("an answer that breaks off while it is paused is not resumed", async () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const [first, second] = ["a", "b"].map((one) => open(heldBytes, one));
  first.hold.add(MAX_BYTES);
  second.hold.add(100 * KB);
  assert.ok(second.isPaused);
  second.hold[Symbol.dispose]();
  first.hold[Symbol.dispose]();
  await resumed();
  assert.is(second.resumes, 0);
  assert.is(heldBytes.getTotal(), 0);
});

test("complete answers that nobody reads don't grow beyond twice the limit", async () => {
  const heldBytes = createHeldBytes({ maxBytes: MAX_BYTES });
  const unread = Array.from({ length: 2 }, (_, at) => {
    const answer = open(heldBytes, `unread-${at}`);
    answer.hold.add(MAX_BYTES);
    answer.hold.end();
    return answer;
  });
  const later = open(heldBytes, "a");
  later.hold.add(100 * KB);
  assert.ok(later.isPaused);
  unread[0].hold[Symbol.dispose]();
  await resumed();
  assert.not(later.isPaused);
});

test.run();
