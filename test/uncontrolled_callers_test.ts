/**
 * Guards against clients that keep to no limit: they made a process run out of memory or
 * descriptors, or kept it from answering others. The programs are real processes; what
 * is checked does not depend on the speed of the machine.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { request } from "undici";
import { CALL } from "../platform/names.ts";
import { call } from "./support/fleet.ts";
import { openCrowd, type OpenCrowdOptions } from "./support/send_crowd.ts";
import {
  type FleetProgram,
  type ProcessFleet,
  startProcessFleet,
} from "./support/start_process_fleet.ts";

/** Memory of a machine of the platform, in MB. */
const MACHINE_MEMORY_MB = 350;

/** Descriptors of a machine in these tests. */
const MACHINE_DESCRIPTORS = 1_000;

/** Heap of a program in these tests, in MB: a small crowd fills it. */
const HEAP_MB = 64;

/** Connections that each send a little. */
const WIDE_CROWD = 1_200;

/** Connections that each send many requests. */
const NARROW_CROWD = 20;

/** Bytes that each of these sends. */
const AHEAD_BYTES = 2_097_152;

const UNFINISHED_BYTES = 30_000;

const DEADLINE_MS = 60_000;

type CrowdForm = Omit<OpenCrowdOptions, "address">;

const unfinished = `x-long: ${"x".repeat(UNFINISHED_BYTES)}`;

const USUAL_HEADERS = [
  "host: a.example",
  "x-attempt-id: ahead",
  "x-deadline-ms: 30000",
  "x-token-usage: 20,20",
  "x-api-key: key-1",
];

function formatHead(
  path: string,
  fields: readonly string[] = [],
  method = "GET",
): string {
  return [`${method} ${path} HTTP/1.1`, ...fields, "", ""].join("\r\n");
}

function sendAhead(head: string): CrowdForm {
  return {
    connections: NARROW_CROWD,
    repeated: head,
    repeatedBytes: AHEAD_BYTES,
  };
}

const BODY = "content-length: 5";

/** Forms that any HTTP server meets. */
const COMMON_FORMS: Readonly<Record<string, (path: string) => CrowdForm>> = {
  "heads without end": (path) => ({
    connections: WIDE_CROWD,
    first: `GET ${path} HTTP/1.1\r\n${unfinished}`,
  }),
  "trailers without end": (path) => ({
    connections: WIDE_CROWD,
    first: formatHead(
      path,
      ["host: h", "transfer-encoding: chunked"],
      "POST",
    ) + `1\r\nx\r\n0\r\n${unfinished}`,
  }),
  "idle connections": () => ({ connections: WIDE_CROWD }),
  "requests ahead": (path) => sendAhead(formatHead(path, ["host: h"])),
  "requests ahead with an expectation": (path) =>
    sendAhead(formatHead(path, ["host: h", "expect: nothing"])),
};

/** Forms that meet a gateway's handling of requests. */
const CALLER_FORMS: Readonly<Record<string, CrowdForm>> = {
  "repeatable requests ahead": sendAhead(
    formatHead("/safe/x", [...USUAL_HEADERS, BODY], "POST") + "hello",
  ),
  "requests ahead that run once": sendAhead(
    formatHead("/once/x", [...USUAL_HEADERS, BODY], "POST") + "hello",
  ),
};

function start(): Promise<ProcessFleet> {
  return startProcessFleet({
    controls: 1,
    gateways: 1,
    engines: 0,
    events: 1,
    eventIntervalMs: 1,
    timeoutMs: DEADLINE_MS,
    graceS: 1,
    otherUpstreams: [{ service: "plain" }],
    flags: [`--max-old-space-size=${HEAP_MB}`],
    settings: { limits: { maxFds: MACHINE_DESCRIPTORS } },
  });
}

interface Target {
  readonly name: string;
  readonly path: string;
  readonly find: (fleet: ProcessFleet) => FleetProgram;
  readonly address: string;
  /** Resolves with the status of one ordinary request. */
  readonly ask: (address: string) => Promise<number>;
}

async function askOnce(address: string, path: string): Promise<number> {
  const { statusCode, body } = await request(`http://${address}${path}`, {
    reset: true,
    headersTimeout: DEADLINE_MS,
  });
  await body.dump();
  return statusCode;
}

const TARGETS: readonly Target[] = [
  {
    name: "callers",
    path: "/safe/x",
    find: ({ gateways }) => gateways[0],
    address: "front",
    ask: async (address) =>
      (await call(address, { path: "/safe/1", deadlineMs: DEADLINE_MS }))
        .status,
  },
  ...([
    ["directory", "gateways", `${CALL.directory}?zone=p1`],
    ["ready", "gateways", CALL.readiness],
    ["metrics", "gateways", "/metrics"],
    ["control", "controls", CALL.readConfig],
  ] as const).map(([address, programs, path]) => ({
    name: address,
    path,
    find: (fleet: ProcessFleet) => fleet[programs][0],
    address,
    ask: (at: string) => askOnce(at, path),
  })),
];

async function play(target: Target, form: CrowdForm): Promise<void> {
  await using fleet = await start();
  const program = target.find(fleet);
  const address = program.listen[target.address];
  assert.is(await target.ask(address), 200, "before the crowd");
  using crowd = openCrowd({ address, ...form });
  await crowd.sent;
  const beside = await target.ask(address).catch((error) => String(error));
  assert.not(program.hasEnded(), "the process has ended");
  const descriptors = program.countDescriptors();
  const memoryMb = Math.round(program.readPeakMemoryMb());
  const seen = JSON.stringify({ beside, descriptors, memoryMb });
  crowd[Symbol.dispose]();
  assert.is(await target.ask(address), 200, seen);
  assert.is(beside, 200, seen);
  assert.ok(descriptors <= MACHINE_DESCRIPTORS, seen);
  assert.ok(memoryMb <= MACHINE_MEMORY_MB, seen);
}

for (const target of TARGETS) {
  for (const [kind, makeForm] of Object.entries(COMMON_FORMS)) {
    test(`a process outlives clients without limits at ${target.name}: ${kind}`, () =>
      play(target, makeForm(target.path)));
  }
}

for (const [kind, form] of Object.entries(CALLER_FORMS)) {
  test(`a gateway outlives clients without limits: ${kind}`, () =>
    play(TARGETS[0], form));
}

test.run();
