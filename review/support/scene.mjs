/**
 * A deployment with three core machines, one entry, three plain upstreams and a caller.
 *
 * @module
 */

import { sleep } from "./deployment.mjs";
import { putConfig } from "./operator.mjs";
import { startCaller, startUpstream } from "./upstream.mjs";

const ZONES = ["a", "b", "c"];

const UPSTREAMS = 3;

/** Time in which the deployment settles before anything else happens. */
const SETTLE_MS = 8_000;

/**
 * Starts the deployment and its first configuration.
 *
 * @returns The machines and stand-ins; undefined if it did not come up.
 */
export async function startScene(deployment) {
  const { addMachine, start, onClose } = deployment;
  const seeds = [];
  const core = ZONES.map((zone) => addMachine(`core-${zone}`, { zone, seeds }));
  seeds.push(...core.map(({ control }) => control));
  const entry = addMachine("entry-a", { zone: "a", seeds });
  await Promise.all([
    ...core.map((one) => start(one, "control", { isFirstStart: true })),
    start(entry, "entry", { isFirstStart: true }),
  ]);
  const controls = [...core];
  const upstreams = [];
  for (let at = 0; at < UPSTREAMS; at++) {
    const upstream = await startUpstream(deployment, {
      at,
      zone: ZONES[at],
      listControls: () => controls.map(({ control }) => control),
    });
    onClose(upstream.stop);
    upstreams.push(upstream);
  }
  if (!await putConfig(deployment, core, { version: 1, limitMs: 20_000 })) {
    return undefined;
  }
  const caller = startCaller(deployment, { entry, upstreams });
  onClose(caller.stop);
  await sleep(SETTLE_MS);
  caller.note("before");
  return {
    core,
    /** Core machines that the upstreams know. */
    controls,
    seeds,
    caller,
    /** Finds the core machine to which the upstreams are told to report. */
    findLeader() {
      const addresses = upstreams.map((one) => one.getLeaderAddress());
      return controls.find(({ control }) =>
        addresses.every((address) => address === control)
      );
    },
  };
}
