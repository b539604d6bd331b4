/**
 * Guards against requests that have run and are ended before their deadline, because
 * for a while no upstream is left.
 */

import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ENDLESS_ANSWERS } from "../../test/support/endless_answers.ts";
import { startEndlessServer } from "../../test/support/start_endless_server.ts";
import { createMetrics } from "../metrics/index.ts";
import {
  createUpstreamClient,
  DispatchError,
  type UpstreamAnswer,
} from "../upstreams/index.ts";
import { getProblem } from "./entry_error.ts";
import type { KnownUpstream, UpstreamTable } from "./create_upstream_table.ts";
import type { RequestContext } from "./request_context.ts";
import { createModelRunner } from "./run_model_request.ts";
import { createPlainRunner } from "./run_plain_request.ts";

/** Ms of the requests' clock in one ms: their deadlines are far away. */
const CLOCK_FACTOR = 100;

const DEADLINE_MS = 60_000;

/** Time for which no upstream is left: longer than a request once waited for one. */
const ABSENCE_MS = 20_000;

/** Path of the call that frees what a stage holds of a request. */
const RELEASE_PATH = "/v1/release";

const UPSTREAM = {
  name: "u1",
  pool: "p",
  spec: { address: "127.0.0.1:1" },
  speedPerS: 1,
  roundTripMs: 1,
  inFlight: 0,
  share: 1,
  knownSinceMs: 0,
  ejectedUntilMs: 0,
  closed: false,
  layers: { start: 0, end: 4 },
} as unknown as KnownUpstream;

/** A runner's dependencies: the upstream fails the first call, then is away. */
function makeDependencies(options: { readonly onSecondCall: () => void }) {
  const startedMs = performance.now();
  const now = () => CLOCK_FACTOR * (performance.now() - startedMs);
  const callsMs: number[] = [];
  let backMs = -Infinity;
  const table = {
    list: () => now() >= backMs ? [UPSTREAM] : [],
    begin: () => {},
    end: () => {},
    recordResult: () => false,
    recordLimit: () => {},
  } as unknown as UpstreamTable;
  const client = {
    call({ path }: { readonly path: string }): Promise<UpstreamAnswer> {
      if (path === RELEASE_PATH) return Promise.resolve(makeAnswer());
      callsMs.push(now());
      if (callsMs.length > 1) options.onSecondCall();
      if (callsMs.length > 1) return Promise.resolve(makeAnswer());
      backMs = now() + ABSENCE_MS;
      const failure = { phase: "sent", fault: "reset" } as const;
      return Promise.reject(
        new DispatchError("The connection was reset", { props: { failure } }),
      );
    },
    async [Symbol.asyncDispose]() {},
  };
  const metrics = createMetrics();
  const log = () => {};
  return { table, client, metrics, log, now, random: () => 0, callsMs };
}

function makeAnswer(): UpstreamAnswer {
  const text = "done";
  return {
    status: 200,
    headers: { "content-length": String(text.length) },
    body: Readable.from([Buffer.from(text)]),
  } as UpstreamAnswer;
}

function makeContext(signal: AbortSignal): RequestContext {
  return {
    requestId: "r",
    service: { name: "s", spec: { pool: "p" } },
    repeatable: true,
    startedMs: 0,
    deadlineMs: DEADLINE_MS,
    signal,
    addStep: () => {},
  } as unknown as RequestContext;
}

test("a completion that has run waits for a chain until its deadline", async () => {
  const caller = new AbortController();
  const options = makeDependencies({ onSecondCall: () => caller.abort() });
  const call = {
    prompt: "p",
    maxTokens: 1,
    layerCount: 4,
    parameters: {},
    onToken: () => {},
  };
  await createModelRunner(options).run(makeContext(caller.signal), call)
    .catch(() => undefined);
  assert.ok(options.callsMs.length > 1);
  assert.ok(options.callsMs[1] >= ABSENCE_MS);
});

test("a completion that finds no chain and has not run is refused at once", async () => {
  const options = makeDependencies({ onSecondCall: () => {} });
  const { now } = options;
  options.table.list = () => [];
  const context = makeContext(new AbortController().signal);
  const call = {
    prompt: "p",
    maxTokens: 1,
    layerCount: 4,
    parameters: {},
    onToken: () => {},
  };
  await createModelRunner(options).run(context, call)
    .then(() => assert.unreachable(), () => {});
  assert.ok(now() < ABSENCE_MS);
});

test("a plain request that may be repeated waits for an upstream once it has run", async () => {
  const options = makeDependencies({ onSecondCall: () => {} });
  const context = makeContext(new AbortController().signal);
  const call = { method: "GET", path: "/", headers: {}, body: undefined };
  const answer = await createPlainRunner(options).run(context, call);
  assert.is(answer.status, 200);
  assert.ok(options.callsMs[1] >= ABSENCE_MS);
});

test("a plain answer that drips is given up at the request's deadline", async () => {
  await using server = await startEndlessServer(() =>
    ENDLESS_ANSWERS.bodyDrip("r")
  );
  await using client = createUpstreamClient();
  const spec = { address: `http://${server.address}` };
  const options = makeDependencies({ onSecondCall: () => {} });
  const startedMs = performance.now();
  const now = () => performance.now() - startedMs;
  options.table.list = () => [{ ...UPSTREAM, spec } as KnownUpstream];
  const context = {
    ...makeContext(new AbortController().signal),
    repeatable: false,
    deadlineMs: 1_000,
  };
  const call = { method: "GET", path: "/", headers: {}, body: undefined };
  const error = await createPlainRunner({ ...options, client, now })
    .run(context, call).catch((thrown) => thrown);
  assert.is(getProblem(error)?.reason, "timeout");
  assert.is(await server.closedBy, "client");
});

test.run();
