import { suite } from "uvu";
import * as assert from "uvu/assert";
import { connect } from "node:net";
import { launchFleet } from "../demo/launch_fleet.ts";
import {
  type Answer,
  readCounters,
  send,
  startTrial,
  type Trial,
} from "./support/trial.ts";

const test = suite<{ trial: Trial }>("bad input");

test.before(async (context) => {
  context.trial = await startTrial();
});

// Undefined if the fleet did not start: its error must not be hidden by another one.
test.after(async ({ trial }: { trial?: Trial }) => {
  await trial?.[Symbol.asyncDispose]();
});

interface Row {
  readonly name: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly status: number;
  readonly reason: string;
}

const completions = "/v1/completions";

const ROWS: readonly Row[] = [
  {
    name: "malformed JSON",
    path: completions,
    body: "{",
    status: 400,
    reason: "bad_request",
  },
  {
    name: "an empty body",
    path: completions,
    body: "",
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a wrong field",
    path: completions,
    body: '{"model":"drafting","prompt":"a","max_tokens":0}',
    status: 400,
    reason: "bad_request",
  },
  {
    name: "neither prompt nor messages",
    path: completions,
    body: '{"model":"drafting"}',
    status: 400,
    reason: "bad_request",
  },
  {
    name: "an unknown model service",
    path: completions,
    body: '{"model":"none","prompt":"a"}',
    status: 404,
    reason: "unknown_service",
  },
  {
    name: "an unknown plain service",
    path: "/services/none/a",
    status: 404,
    reason: "unknown_service",
  },
  {
    name: "a wrong key",
    path: "/services/dashboard/a",
    headers: { authorization: "Bearer wrong" },
    status: 401,
    reason: "unknown_key",
  },
  {
    name: "no key",
    path: "/services/dashboard/a",
    headers: { authorization: "" },
    status: 401,
    reason: "unknown_key",
  },
  {
    name: "a deadline that is not a number",
    path: "/services/dashboard/a",
    headers: { "crowlever-deadline-ms": "soon" },
    status: 400,
    reason: "bad_request",
  },
  {
    name: "an oversize body",
    path: "/services/dashboard/a",
    body: "x".repeat(1_100_000),
    status: 413,
    reason: "body_too_large",
  },
  {
    name: "an unknown address",
    path: "/nowhere",
    status: 404,
    reason: "not_found",
  },
];

function checkProblem(answer: Answer, row: Row): void {
  assert.is(answer.status, row.status);
  assert.match(String(answer.headers["content-type"]), /problem\+json/);
  assert.is(answer.headers["crowlever-outcome"], "not_run");
  const problem = JSON.parse(answer.text) as { reason: string; title: string };
  assert.is(problem.reason, row.reason);
  assert.ok(problem.title.length > 10);
}

for (const row of ROWS) {
  test(`${row.name} gets a problem document and is counted`, async ({ trial }) => {
    const { address } = trial.entries[0];
    const before = await readCounters(address);
    const method = row.body === undefined ? "GET" : "POST";
    const answer = await send(`${address}${row.path}`, { ...row, method });
    checkProblem(answer, row);
    const after = await readCounters(address);
    const name = `refusal.${row.reason}`;
    assert.is(after[name], (before[name] ?? 0) + 1);
  });
}

function sendRaw(address: string, text: string): Promise<string> {
  const { hostname, port } = new URL(address);
  return new Promise((resolve, reject) => {
    let answer = "";
    const socket = connect(Number(port), hostname, () => socket.write(text));
    socket.on("data", (chunk) => answer += String(chunk));
    socket.on("close", () => resolve(answer));
    socket.on("error", reject);
  });
}

test("input that is not HTTP gets a 400 response and a closed connection", async ({ trial }) => {
  const answer = await sendRaw(trial.entries[0].address, "nonsense\r\n\r\n");
  assert.match(answer, /^HTTP\/1\.1 400/);
  assert.match(answer, /"reason":"bad_request"/);
});

test("a header that exceeds the size limit is rejected", async ({ trial }) => {
  const text = `GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(40_000)}\r\n\r\n`;
  const answer = await sendRaw(trial.entries[0].address, text);
  assert.match(answer, /^HTTP\/1\.1 431/);
});

test("a request that is not received within the request timeout is rejected", async () => {
  await using fleet = await launchFleet({
    controls: 1,
    entries: 1,
    entrySettings: { limits: { requestTimeoutMs: 700 } },
  });
  const text = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n" +
    "content-length: 100\r\n\r\nhalf";
  const address = `http://${fleet.entries[0].address}`;
  const answer = await sendRaw(address, text);
  assert.match(answer, /^HTTP\/1\.1 408/);
});

test("requests of callers that disconnect are released", async ({ trial }) => {
  const { address } = trial.entries[0];
  for (const service of trial.plain) service.fault.frozen = true;
  const before = await readCounters(address);
  const { hostname, port } = new URL(address);
  const sockets = Array.from({ length: 50 }, (_v, at) => {
    const socket = connect(Number(port), hostname);
    socket.write(
      `GET /services/dashboard/cut/${at} HTTP/1.1\r\nhost: a\r\n` +
        "authorization: Bearer key-of-the-dock\r\n\r\n",
    );
    return socket;
  });
  await trial.fleet.until("all requests have begun", async () => {
    const { "requests.started": started } = await readCounters(address);
    return started >= (before["requests.started"] ?? 0) + 50;
  });
  sockets.forEach((socket) => socket.destroy());
  let counters: Record<string, number> = {};
  await trial.fleet.until("all requests have ended", async () => {
    counters = await readCounters(address);
    return counters["requests.caller_gone"] === 50;
  });
  // Unfreezing earlier would race: a request that had not reached its service
  // would be answered and end as done just as its caller disconnects.
  for (const service of trial.plain) service.fault.frozen = false;
  // A disconnected caller must not count as a failure of the upstream.
  assert.is(counters["upstream.ejected"], undefined);
  const answer = await send(`${address}/services/dashboard/after`);
  assert.is(answer.headers["crowlever-outcome"], "done");
});

test.run();
