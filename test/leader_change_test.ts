/**
 * What a new leader sends to gateways while many of them have not reconnected yet.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  startSessionFleet,
  type TestSession,
} from "./support/start_session_fleet.ts";

const GATEWAYS = 20;

/** Time after which the late gateways look for the new leader. */
const RECONNECT_DELAY_MS = 3_000;

const VMS = Array.from({ length: GATEWAYS }, (_, at) => `g${at}`);

function knowsAll(
  { receivedGateways, receivedRequestCounts }: TestSession,
): boolean {
  return receivedGateways.at(-1)?.length === GATEWAYS &&
    receivedRequestCounts.at(-1) === GATEWAYS;
}

// Guards against a new leader that sends totals before all gateways have reconnected:
// callers would be directed to a part of the VMs, and engines would appear less loaded
// than they are.
test("a new leader sends no incomplete list of gateways and no incomplete load totals", async () => {
  await using fleet = await startSessionFleet();
  const gateways = VMS.map((vm, at) =>
    fleet.open(vm, { reconnectDelayMs: at % 2 === 0 ? 0 : RECONNECT_DELAY_MS })
  );
  await until(
    "all gateways know all gateways and their requests",
    () => gateways.every(knowsAll),
  );
  for (
    const {
      receivedGateways,
      receivedRequestCounts,
    } of gateways
  ) {
    receivedGateways.length = 0;
    receivedRequestCounts.length = 0;
  }
  await fleet.stopLeader();
  await until(
    "some gateways have reconnected",
    () => gateways.filter(({ welcomes }) => welcomes > 1).length > 0,
  );
  const started = fleet.open("started");
  await until(
    "all gateways have reconnected and know all requests",
    () =>
      gateways.every(({ welcomes }) => welcomes > 1) &&
      gateways.every(({ receivedRequestCounts }) =>
        receivedRequestCounts.at(-1) === GATEWAYS + 1
      ),
  );
  assert.equal(
    gateways.map(({ receivedGateways }) =>
      Math.min(...receivedGateways.map((vms) => vms.length))
    ).filter((fewest) => fewest < GATEWAYS),
    [],
  );
  assert.is(Math.min(...started.receivedGateways.map((vms) => vms.length)), 21);
  const leastRequests = gateways.map((
    { receivedRequestCounts },
  ) => Math.min(...receivedRequestCounts));
  assert.is(Math.min(...leastRequests), GATEWAYS + 1);
});

test("a gateway that does not reconnect is removed after a leader change", async () => {
  await using fleet = await startSessionFleet();
  const gateways = VMS.map((vm) => fleet.open(vm));
  await until(
    "all gateways know all gateways and their requests",
    () => gateways.every(knowsAll),
  );
  const [departed, ...others] = gateways;
  await fleet.stopLeader();
  await departed.link[Symbol.asyncDispose]();
  const hasRemoved = ({ receivedGateways }: TestSession) =>
    receivedGateways.at(-1)?.includes(departed.vm) === false;
  await until(
    "the other gateways have removed it",
    () => others.every(hasRemoved),
  );
  assert.ok(others.every((one) => one.receivedGateways.at(-1)?.length === 19));
});

test.run();
