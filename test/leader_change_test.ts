/**
 * What gateways are told by a new leader to which many of them come late.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  startSessionFleet,
  type TestSession,
} from "./support/start_session_fleet.ts";

const GATEWAYS = 20;

/** Ms after which the late ones look for the new leader. */
const LATE_MS = 3_000;

const VMS = Array.from({ length: GATEWAYS }, (_, at) => `g${at}`);

function isToldAll({ toldGateways, toldRequests }: TestSession): boolean {
  return toldGateways.at(-1)?.length === GATEWAYS &&
    toldRequests.at(-1) === GATEWAYS;
}

// Callers would be sent to a part of the VMs, and engines would look emptier than
// they are.
test("a new leader tells no part of the gateways and their work as the whole", async () => {
  await using fleet = await startSessionFleet();
  const gateways = VMS.map((vm, at) =>
    fleet.open(vm, { returnMs: at % 2 === 0 ? 0 : LATE_MS })
  );
  await until("all are told of all", () => gateways.every(isToldAll));
  for (const { toldGateways, toldRequests } of gateways) {
    toldGateways.length = 0;
    toldRequests.length = 0;
  }
  await fleet.stopLeader();
  await until(
    "some are back",
    () => gateways.filter(({ welcomes }) => welcomes > 1).length > 0,
  );
  const started = fleet.open("started");
  await until(
    "all are back and told of all",
    () =>
      gateways.every(({ welcomes }) => welcomes > 1) &&
      gateways.every(({ toldRequests }) =>
        toldRequests.at(-1) === GATEWAYS + 1
      ),
  );
  assert.equal(
    gateways.map(({ toldGateways }) =>
      Math.min(...toldGateways.map((vms) => vms.length))
    ).filter((fewest) => fewest < GATEWAYS),
    [],
  );
  assert.is(Math.min(...started.toldGateways.map((vms) => vms.length)), 21);
  const leastRequests = gateways.map(({ toldRequests }) =>
    Math.min(...toldRequests)
  );
  assert.is(Math.min(...leastRequests), GATEWAYS + 1);
});

test("a gateway that stays away is no longer told after a leader's change", async () => {
  await using fleet = await startSessionFleet();
  const gateways = VMS.map((vm) => fleet.open(vm));
  await until("all are told of all", () => gateways.every(isToldAll));
  const [gone, ...others] = gateways;
  await fleet.stopLeader();
  await gone.link[Symbol.asyncDispose]();
  const isWithout = ({ toldGateways }: TestSession) =>
    toldGateways.at(-1)?.includes(gone.vm) === false;
  await until("the others are told", () => others.every(isWithout));
  assert.ok(others.every((one) => one.toldGateways.at(-1)?.length === 19));
});

test.run();
