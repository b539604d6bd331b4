/**
 * A core machine is replaced as planned. As soon as its successor has had `catchUpS`, the
 * machine that has just acknowledged a configuration loses its disk.
 *
 * @module
 */

import { BOUNDS, EXIT, runCase, sleep } from "../support/deployment.mjs";
import { putConfig, readConfig } from "../support/operator.mjs";
import { startScene } from "../support/scene.mjs";

const LIMIT_MS = 10_000;

/** From the start of the new machine to SIGTERM for the old one. */
const OVERLAP_MS = 2_000;

/** Lets the time limit end, and not begin to. */
const MARGIN_MS = 10;

await runCase(import.meta.url, async (deployment, { hasTrouble }) => {
  const { record, addMachine, start, signal, waitForEnd, eraseDisk } =
    deployment;
  const scene = await startScene(deployment);
  if (!scene) return EXIT.notRun;
  const { core, controls, seeds, caller } = scene;
  const leaving = core[2];

  // The new machine comes first.
  const added = addMachine("core-d", { zone: "c", seeds });
  await start(added, "control");
  const addedMs = performance.now();
  controls.push(added);
  await sleep(OVERLAP_MS);
  signal(leaving, "control", "SIGTERM");
  await waitForEnd(leaving, "control");
  controls.splice(controls.indexOf(leaving), 1);
  record(`${leaving.name}: removed for good`);

  // The removed machine counts as lost until its successor has had `catchUpS`.
  const waitMs = addedMs + BOUNDS.catchUpS * 1_000 - performance.now();
  await sleep(waitMs + MARGIN_MS);

  const acknowledging = await putConfig(deployment, controls, {
    version: 2,
    limitMs: LIMIT_MS,
  });
  if (!acknowledging) return EXIT.notRun;
  if (hasTrouble) {
    signal(acknowledging, "control", "SIGKILL");
    await waitForEnd(acknowledging, "control");
    await eraseDisk(acknowledging);
    await sleep(1_000);
    await start(acknowledging, "control");
  }

  // All machines are back from here on; no further disruption follows.
  await sleep(BOUNDS.recoverS * 1_000);
  caller.note("until recoverS");
  const version = await readConfig(deployment, controls, { limitMs: 30_000 });
  caller.note("after recoverS");
  return version === 2 ? EXIT.held : EXIT.broken;
});
