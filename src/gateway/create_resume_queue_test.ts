import { test } from "uvu";
import * as assert from "uvu/assert";
import { createResumeQueue } from "./create_resume_queue.ts";

/** A queue whose rounds the test runs, and streams that note their turns. */
function makeQueue() {
  const rounds: (() => void)[] = [];
  const delaysMs: number[] = [];
  const queue = createResumeQueue({
    schedule(run, delayMs) {
      rounds.push(run);
      delaysMs.push(delayMs);
    },
  });
  const turns: string[] = [];
  const resumable = new Set<string>();

  function addStream(name: string, isLinkDenied = false) {
    const ticket = queue.join();
    const wait = () =>
      ticket.wait({
        isLinkDenied,
        onTurn() {
          turns.push(name);
          if (!resumable.has(name)) wait();
        },
      });
    wait();
    return ticket;
  }

  function runRound(): string {
    turns.length = 0;
    rounds.shift()?.();
    return turns.join("");
  }

  return { queue, rounds, delaysMs, resumable, addStream, runRound };
}

test("streams are resumed in the order in which they broke off", () => {
  const { rounds, resumable, addStream, runRound } = makeQueue();
  [..."abcdef"].forEach((name) => addStream(name));
  [..."abcdef"].forEach((name) => resumable.add(name));
  assert.is(rounds.length, 1);
  assert.is(runRound(), "abcdef");
  assert.is(rounds.length, 0);
});

test("a round makes few searches in vain, and all streams get their turn", () => {
  const { addStream, runRound } = makeQueue();
  [..."abcdefgh"].forEach((name) => addStream(name));
  assert.is(runRound(), "abcd");
  assert.is(runRound(), "aefg");
  assert.is(runRound(), "ahbc");
});

test("a stream whose needs can't be met keeps no other from being resumed", () => {
  const { resumable, addStream, runRound } = makeQueue();
  [..."abcdefgh"].forEach((name) => addStream(name));
  [..."bcdefgh"].forEach((name) => resumable.add(name));
  assert.is(runRound(), "abcdefgh");
});

test("a stream that has left gets no turn, and an empty queue searches no more", () => {
  const { rounds, addStream, runRound } = makeQueue();
  addStream("a").leave();
  assert.is(runRound(), "");
  assert.is(rounds.length, 0);
});

test("rounds become rarer while no stream is resumed", () => {
  const { delaysMs, resumable, addStream, runRound } = makeQueue();
  addStream("a");
  for (let round = 0; round < 4; round++) runRound();
  assert.equal(delaysMs, [50, 100, 200, 200, 200]);
  addStream("b");
  resumable.add("b");
  runRound();
  assert.is(delaysMs.at(-1), 50);
});

test("the queue tells whether a stream waits for the link alone", () => {
  const { queue, addStream } = makeQueue();
  addStream("a");
  assert.is(queue.isWaitingForLink(), false);
  const ticket = addStream("b", true);
  assert.is(queue.isWaitingForLink(), true);
  ticket.leave();
  assert.is(queue.isWaitingForLink(), false);
});

test.run();
