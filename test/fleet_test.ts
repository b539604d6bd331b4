/**
 * Requests through the gateways to stand-ins of the platform's engines, and their
 * failures.
 */

import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { createEngineCalls } from "../platform/engine_calls.ts";
import type { EngineRecord } from "../src/engines/index.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  call,
  expectStream,
  LAYERS,
  makeWireConfig,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";

const { sendLayerOrder } = createEngineCalls();

test("streams and plain calls are served in full", async () => {
  await using fleet = await startServingFleet();
  const [{ address }] = fleet.gateways;
  const stream = await call(address, { path: "/stream/1" });
  assert.is(stream.status, 200);
  assert.is(stream.text, expectStream());
  assert.is(stream.headers["x-server-seal"], "s");
  const plain = await call(address, { path: "/once/1" });
  assert.is(plain.text, `answer to ${plain.requestId}`);
  const runs = fleet.plain.flatMap((engine) => engine.runs);
  assert.is(runs[0].account, "one");
  assert.is(runs[0].body, "hello");
});

test("unknown routes are answered with 404 and unknown keys with 401", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  assert.is((await call(address, { path: "/none/1" })).status, 404);
  const unknown = await call(address, { path: "/once/1", key: "other" });
  assert.is(unknown.status, 401);
});

test("a stream that breaks off resumes on another engine with each event sent once", async () => {
  await using fleet = await startServingFleet();
  const [{ address }] = fleet.gateways;
  // The route allows two attempts, so only the engines of the gateway's place fail.
  for (const engine of fleet.engines.slice(0, 2)) {
    engine.fault.resetAfterEvents = 5;
    engine.fault.cutsEvent = true;
  }
  const { status, text } = await call(address, { path: "/stream/1" });
  assert.is(status, 200);
  assert.is(text, expectStream());
  const runs = fleet.engines.flatMap((engine) => engine.runs);
  const resumedAfter = runs.map((run) => Number(run.lastEventId ?? 0)).sort();
  assert.is(resumedAfter[0], 0);
  assert.ok(resumedAfter.includes(5));
});

/** Gives the engines of the first place in the order of their layers. */
function getFirstPath(fleet: TestFleet): [LayerEngine, LayerEngine] {
  const [one, two] = fleet.engines;
  return one.getRange()[0] === 0 ? [one, two] : [two, one];
}

test("a stream runs on no more engines than its route allows", async () => {
  await using fleet = await startServingFleet();
  const [{ address }] = fleet.gateways;
  const third = await fleet.addEngine("p1");
  const record = { engineId: third.engineId, address: third.address };
  await sendLayerOrder(record as EngineRecord, {
    fromLayer: 0,
    toLayer: LAYERS,
  });
  await sleep(600);
  for (const engine of fleet.engines) engine.fault.resetAfterEvents = 2;
  await call(address, { path: "/stream/1" }).then(
    () => assert.unreachable("the stream can't be complete after two resets"),
    () => {},
  );
  const runs = fleet.engines.flatMap((engine) => engine.runs);
  assert.is(runs.length, 2);
});

/** Adds an engine and loads the layers that another engine holds. */
async function addSpareEngine(
  fleet: TestFleet,
  other: LayerEngine,
): Promise<LayerEngine> {
  const spare = await fleet.addEngine("p1");
  // Waits for the leader's own layer order to the new engine.
  await until("the spare engine holds layers", () => spare.getRange()[1] > 0);
  await until(
    "the spare engine accepts the order to load the same layers",
    async () => {
      const [fromLayer, toLayer] = other.getRange();
      const record = { engineId: spare.engineId, address: spare.address };
      const answer = await sendLayerOrder(record as EngineRecord, {
        fromLayer,
        toLayer,
      });
      return answer === "begun";
    },
  );
  await sleep(600);
  return spare;
}

/** Disturbs an engine on a stream's path; the path has to move to the spare engine. */
async function expectPathMove(
  injectFault: (
    path: { readonly first: LayerEngine; readonly used: LayerEngine },
  ) => Promise<void> | void,
): Promise<void> {
  const events = 400;
  await using fleet = await startServingFleet({
    controls: 1,
    gateways: 1,
    events,
  });
  const [{ address }] = fleet.gateways;
  const [first, second] = getFirstPath(fleet);
  const spare = await addSpareEngine(fleet, second);
  const answer = call(address, { path: "/stream/1" });
  await until("the stream runs", () => first.getPaths().length === 1);
  const pathUses = (engine: LayerEngine) =>
    first.getPaths().some((path) => path.includes(engine.address));
  const [used, other] = pathUses(second) ? [second, spare] : [spare, second];
  await injectFault({ first, used });
  await until("the path has moved", () => pathUses(other) && !pathUses(used));
  assert.is((await answer).text, expectStream(events));
  const runs = fleet.engines.flatMap((engine) => engine.runs);
  assert.is(runs.length, 1, "the stream continued on the engine that ran it");
}

test("a stalled stream continues over another engine of the place with the same layers", () =>
  expectPathMove(({ first, used }) => {
    first.fault.stalledFor = used.address;
  }));

test("a running stream moves away from an engine that drains", () =>
  expectPathMove(({ used }) => used.drain()));

test("a stalled stream continues in another place if no other engine of its own has the layers", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const [first, second] = getFirstPath(fleet);
  first.fault.stalledFor = second.address;
  const { text } = await call(address, { path: "/stream/1" });
  assert.is(text, expectStream());
  const [, , ...others] = fleet.engines;
  assert.is(others.flatMap((engine) => engine.runs).length, 1);
});

test("a stream moves away from a crashed engine before any report names that engine", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const [first, second] = getFirstPath(fleet);
  first.fault.stalledFor = second.address;
  first.fault.hidesStalled = true;
  const answer = call(address, { path: "/stream/1" });
  await until("the stream runs", () => first.runs.length === 1);
  await second.crash();
  const { text } = await answer;
  assert.is(text, expectStream());
  const [, , ...others] = fleet.engines;
  assert.is(others.flatMap((engine) => engine.runs).length, 1);
});

test("a request that is not repeatable runs once if its answer is lost", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  for (const engine of fleet.plain) engine.fault.dropsAnswers = true;
  const lost = await call(address, { path: "/once/1" });
  assert.is(lost.status, 502);
  const count = () => fleet.plain.flatMap((engine) => engine.runs).length;
  assert.is(count(), 1);
});

test("a repeatable request is retried if its answer is lost", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  for (const engine of fleet.plain) engine.fault.dropsAnswers = true;
  assert.is((await call(address, { path: "/safe/1" })).status, 502);
  assert.is(fleet.plain.flatMap((engine) => engine.runs).length, 2);
});

test("a request that was sent is never reported as not run at its deadline", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const all = [...fleet.plain, ...fleet.engines];
  for (const engine of all) engine.fault.hangs = true;
  for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
    const { status } = await call(address, { path, deadlineMs: 250 });
    assert.ok(status === 504 || status === 502, `${path}: ${status}`);
  }
});

test("an answer to another request is never forwarded", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  for (const engine of fleet.plain) engine.fault.swapsIds = true;
  const answer = await call(address, { path: "/once/1" });
  assert.is(answer.status, 502);
  assert.is(answer.headers["x-server-seal"], undefined);
});

test("a rejection is marked as not run and has a retry-after header", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  for (const engine of fleet.plain) engine.fault.isFull = true;
  const answer = await call(address, { path: "/once/1" });
  assert.is(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
  assert.is(fleet.plain.flatMap((engine) => engine.runs).length, 0);
});

test("a run is cancelled when its caller disconnects", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const leaving = AbortSignal.timeout(40);
  const left = call(address, { path: "/stream/1", signal: leaving });
  await left.then(() => assert.unreachable(), () => {});
  const runs = () => fleet.engines.flatMap((engine) => engine.runs);
  await until("the engine's run was cancelled", () => runs()[0]?.wasCut);
});

test("an engine gets no new requests once its drain is acknowledged", async () => {
  await using fleet = await startServingFleet();
  const [{ address }] = fleet.gateways;
  const [leaving] = fleet.plain;
  await leaving.drain();
  await sleep(100);
  const before = leaving.runs.length;
  for (let at = 0; at < 10; at++) await call(address, { path: "/once/1" });
  assert.is(leaving.runs.length, before);
});

test("the highest version is in force on all processes; repeated and older ones are accepted", async () => {
  await using fleet = await startServingFleet();
  assert.is(await fleet.put(makeWireConfig(7), 1), 200);
  assert.is(await fleet.put(makeWireConfig(7), 2), 200);
  assert.is(await fleet.put(makeWireConfig(5), 0), 200);
  await fleet.waitForVersion(7);
  for (const at of [0, 1, 2]) {
    const { status, text } = await fleet.readConfig(at);
    assert.is(status, 200);
    assert.is(JSON.parse(text).version, 7);
  }
  const invalid = makeWireConfig(9) as { services: unknown[] };
  invalid.services = [];
  assert.is(await fleet.put(invalid), 400);
});

test("a removed key is rejected and a new one is served", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  await fleet.put(makeWireConfig(2, { keys: ["key-2"] }));
  await fleet.waitForVersion(2);
  assert.is((await call(address, { path: "/once/1" })).status, 401);
  const served = await call(address, { path: "/once/1", key: "key-2" });
  assert.is(served.status, 200);
});

test("requests are served without the leader, and no accepted change is lost", async () => {
  await using fleet = await startServingFleet();
  const [{ address }] = fleet.gateways;
  const at = fleet.controls.findIndex(({ control }) =>
    control.getState().role === "leader"
  );
  await fleet.controls[at].stop();
  fleet.controls.splice(at, 1);
  assert.is((await call(address, { path: "/stream/1" })).status, 200);
  const other = at === 0 ? 1 : 0;
  await until(
    "another leader accepts changes",
    async () => await fleet.put(makeWireConfig(3), other) === 200,
  );
  await fleet.waitForVersion(3);
  assert.is(JSON.parse((await fleet.readConfig(other)).text).version, 3);
  assert.is((await call(address, { path: "/stream/1" })).text, expectStream());
});

test("an empty engine loads the layers of a crashed one", async () => {
  await using fleet = await startServingFleet();
  const [lost] = fleet.engines.splice(0, 1);
  const range = lost.getRange();
  await lost.crash();
  const empty = await fleet.addEngine("p1");
  await until(
    "the empty engine holds the layers",
    () => empty.getRange()[0] === range[0] && empty.getRange()[1] === range[1],
  );
});

test("a stopping gateway rejects streams that would outlast its grace period", async () => {
  const options = { controls: 1, gateways: 1, events: 200, graceMs: 1_200 };
  await using fleet = await startServingFleet(options);
  const [{ address, gateway }] = fleet.gateways;
  const { text } = await call(address, { path: "/stream/1" });
  assert.is(text, expectStream(200));
  const stopped = gateway.stop();
  const refused = await call(address, { path: "/stream/1" });
  assert.is(refused.status, 503);
  assert.match(refused.text, /leaving/);
  assert.ok(Number(refused.headers["retry-after"]) < 0.1);
  const short = await call(address, { path: "/once/1" });
  assert.is(short.status, 200);
  await stopped;
});

// Guards against plain calls that are taken late in the grace period and then cut.
for (const route of ["once", "safe"]) {
  test(`a stopping gateway rejects plain calls that would outlast its grace period: ${route}`, async () => {
    const options = { controls: 1, gateways: 1, graceMs: 1_600 };
    await using fleet = await startServingFleet(options);
    const [{ address, gateway }] = fleet.gateways;
    for (const engine of fleet.plain) {
      Object.assign(engine.fault, { answerDelayMs: 1_500 });
    }
    assert.is((await call(address, { path: `/${route}/1` })).status, 200);
    const stopped = gateway.stop();
    const refused = await call(address, { path: `/${route}/2` });
    await stopped;
    assert.is(refused.status, 503);
    assert.match(refused.text, /leaving/);
    assert.ok(Number(refused.headers["retry-after"]) < 0.1);
    const runs = fleet.plain.flatMap((engine) => engine.runs);
    assert.equal(runs.map(({ target }) => target), [`/${route}/1`]);
  });
}

test("a planned stop completes running requests and those that arrive during it", async () => {
  await using fleet = await startServingFleet({
    controls: 1,
    gateways: 1,
    events: 100,
    graceMs: 4_000,
  });
  const [{ address, gateway }] = fleet.gateways;
  const running = Array.from(
    { length: 5 },
    () => call(address, { path: "/stream/1" }),
  );
  await until(
    "all streams have started",
    () => fleet.engines.flatMap((engine) => engine.runs).length === 5,
  );
  const stopped = gateway.stop();
  assert.not.ok(gateway.isReady());
  const meanwhile = await call(address, { path: "/once/1" });
  assert.is(meanwhile.status, 200);
  assert.is(meanwhile.headers.connection, "close");
  for (const { text } of await Promise.all(running)) {
    assert.is(text, expectStream(100));
  }
  await stopped;
});

// Guards against an answer that is dropped because its gateway has handed it to the
// connection, though the caller has not taken all of it.
test("a planned stop waits for callers that are still reading their answers", async () => {
  const options = { controls: 1, gateways: 1, graceMs: 5_000 };
  await using fleet = await startServingFleet(options);
  const [{ address, gateway }] = fleet.gateways;
  const answerBytes = 12 * 1024 * 1024;
  for (const engine of fleet.plain) {
    Object.assign(engine.fault, { answerBytes });
  }
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  let receivedBytes = 0;
  const closed = once(socket, "close");
  socket.write([
    "POST /once/1 HTTP/1.1",
    "host: a.example",
    "x-attempt-id: slow",
    "x-deadline-ms: 20000",
    "x-api-key: key-1",
    "content-length: 0",
    "",
    "",
  ].join("\r\n"));
  const ran = () => fleet.plain.some(({ runs }) => runs.length > 0);
  await until("the engine has run it", ran);
  const stopped = gateway.stop();
  await sleep(3_500);
  socket.on("data", (data) => receivedBytes += data.length);
  await Promise.all([stopped, closed]);
  assert.ok(receivedBytes > answerBytes, `${receivedBytes} bytes`);
});

test("callers get the gateway addresses of their place", async () => {
  await using fleet = await startServingFleet();
  await until(
    "both gateways are known",
    () => fleet.gateways[0].gateway.listAddresses("p1").length === 2,
  );
  const addresses = fleet.gateways[0].gateway.listAddresses("elsewhere");
  assert.equal([...addresses].sort(), fleet.gateways.map((one) => one.address));
});

test.run();
