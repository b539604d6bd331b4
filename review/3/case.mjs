/**
 * The machine that leads the core loses its disk right after it has acknowledged a
 * configuration, and is back at once. `catchUpS` later, the next leader
 * loses its disk in the same way.
 *
 * @module
 */

import { BOUNDS, EXIT, runCase, sleep } from "../support/deployment.mjs";
import { putConfig, readConfig } from "../support/operator.mjs";
import { startScene } from "../support/scene.mjs";

const LIMIT_MS = 10_000;

await runCase(import.meta.url, async (deployment, { hasTrouble }) => {
  const { record, start, signal, waitForEnd, eraseDisk } = deployment;
  const scene = await startScene(deployment);
  if (!scene) return EXIT.notRun;
  const { controls, caller, findLeader } = scene;

  async function loseDisk(machine) {
    signal(machine, "control", "SIGKILL");
    await waitForEnd(machine, "control");
    await eraseDisk(machine);
    await start(machine, "control");
    return performance.now();
  }

  const leader = findLeader();
  if (!leader) return EXIT.notRun;
  record(`${leader.name}: receives the heartbeats`);
  const first = { version: 2, limitMs: LIMIT_MS };
  if (!await putConfig(deployment, [leader], first)) return EXIT.notRun;
  const backMs = await loseDisk(leader);

  // The machine has come back, and counts as lost until `catchUpS` have passed.
  const waitMs = backMs + BOUNDS.catchUpS * 1_000 - performance.now();
  await sleep(Math.ceil(waitMs) + 10);
  const nextLeader = findLeader();
  if (!nextLeader || nextLeader === leader) return EXIT.notRun;
  record(`${nextLeader.name}: receives the heartbeats`);
  const second = { version: 3, limitMs: LIMIT_MS };
  if (!await putConfig(deployment, [nextLeader], second)) return EXIT.notRun;
  if (hasTrouble) await loseDisk(nextLeader);

  // All machines are back from here on; no further disruption follows.
  await sleep(BOUNDS.recoverS * 1_000);
  caller.note("until recoverS");
  const version = await readConfig(deployment, controls, { limitMs: 30_000 });
  caller.note("after recoverS");
  return version === 3 ? EXIT.held : EXIT.broken;
});
