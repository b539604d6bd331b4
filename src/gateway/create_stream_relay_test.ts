import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createStreamRelay } from "./create_stream_relay.ts";

function createRelay(lastEventId?: string) {
  const written: string[] = [];
  const pauses: number[] = [];
  const state = { nowMs: 0, hasCapacity: true, firstEvents: 0 };
  const relay = createStreamRelay({
    response: {
      write(bytes: Buffer) {
        written.push(bytes.toString());
        return state.hasCapacity;
      },
    } as unknown as ServerResponse,
    lastEventId,
    onPause: (pauseMs) => void pauses.push(pauseMs),
    onFirstEvent() {
      state.firstEvents += 1;
    },
    now: () => state.nowMs,
  });
  const forward = (id: string | undefined, text = `event ${id}`) =>
    relay.forward({ id, bytes: Buffer.from(text), isIgnored: false });
  const comment = () =>
    relay.forward({
      id: undefined,
      bytes: Buffer.from(": x\n\n"),
      isIgnored: true,
    });
  return { relay, forward, comment, written, pauses, state };
}

test("each event is written once, whichever run it comes from", () => {
  const { relay, forward, written } = createRelay("2");
  for (const id of ["1", "2", "3", "3", "4", "2", "5"]) forward(id);
  assert.equal(written, ["event 3", "event 4", "event 5"]);
  assert.is(relay.getProgress().events, 3);
  assert.is(relay.getProgress().lastEventId, "5");
});

// An upstream that only sent comments was never found to be silent.
test("a comment is written, and does not end the silence", () => {
  const { relay, forward, comment, written, state, pauses } = createRelay();
  forward("1");
  state.nowMs = 500;
  comment();
  assert.is(relay.getSilenceMs(), 500);
  assert.equal(written, ["event 1", ": x\n\n"]);
  assert.is(relay.getProgress().events, 1);
  state.nowMs = 800;
  forward("2");
  assert.is(relay.getSilenceMs(), 0);
  assert.equal(pauses, [800]);
});

test("a comment before the first event is not the first event", () => {
  const { relay, comment, forward, state } = createRelay();
  comment();
  assert.is(state.firstEvents, 0);
  assert.is(relay.getProgress().firstEventMs, undefined);
  forward("1");
  assert.is(state.firstEvents, 1);
});

test("a full buffer of the caller is reported for events and comments", () => {
  const { forward, comment, state } = createRelay();
  assert.ok(forward("1"));
  state.hasCapacity = false;
  assert.not(forward("2"));
  assert.not(comment());
  // Nothing is written for an event that the caller has.
  assert.ok(forward("2"));
});

test("events without ids are all written, and keep the last id", () => {
  const { relay, forward, written } = createRelay("4");
  forward(undefined, "a");
  forward(undefined, "a");
  assert.equal(written, ["a", "a"]);
  assert.is(relay.getProgress().lastEventId, "4");
});

test("the longest and the usual pause are measured between events", () => {
  const { relay, forward, state } = createRelay();
  for (const [nowMs, id] of [[100, "1"], [200, "2"], [400, "3"]] as const) {
    state.nowMs = nowMs;
    forward(id);
  }
  assert.is(relay.getProgress().longestPauseMs, 200);
  assert.is(relay.getUsualPauseMs(), 120);
  state.nowMs = 1_000;
  relay.restartSilence();
  assert.is(relay.getSilenceMs(), 0);
});

test.run();
