/**
 * What happens to the processes in the soak test of ends and starts.
 *
 * @module
 */

import { mkdir, rm } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../proof/random_source.ts";
import type { ProgramRun, SupervisedProgram } from "./supervise_program.ts";

/** What a course acts on. */
export interface CourseContext {
  readonly controls: readonly SupervisedProgram[];
  /** Control processes and gateways. */
  readonly programs: readonly SupervisedProgram[];
  readonly random: RandomSource;
  /** Whether one more disk may be lost; it counts as lost from then on. */
  readonly mayLoseDisk: () => boolean;
}

/** Disturbs some processes for a while. */
export type EndCourse = (context: CourseContext) => Promise<void>;

function signalAll(program: SupervisedProgram, signal: NodeJS.Signals): void {
  for (const run of program.runs) run.signal(signal);
}

// Signals that come earlier meet no handler: they end the runtime as it starts.
function hangUp(run: ProgramRun): void {
  if (run.hasLogged()) run.signal("SIGHUP");
}

async function terminate(program: SupervisedProgram, random: RandomSource) {
  signalAll(program, "SIGTERM");
  if (!random.chance(0.5)) return;
  await sleep(random.integer(0, 200));
  signalAll(program, "SIGTERM");
}

/** Waits until processes that start have logged something, or for a while. */
async function waitForLogs(runs: readonly ProgramRun[]): Promise<void> {
  for (let left = 100; left > 0; left--) {
    if (runs.every((run) => run.hasLogged())) return;
    await sleep(30);
  }
}

const startBeside: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  for (let left = random.integer(1, 6); left > 0; left--) {
    await program.start();
    await sleep(random.integer(0, 400));
  }
  if (random.chance(0.5)) signalAll(program, "SIGKILL");
};

const startBesideAll: EndCourse = async ({ controls, random }) => {
  for (let left = random.integer(1, 6); left > 0; left--) {
    await Promise.all(controls.map((control) => control.start()));
    await sleep(random.integer(0, 100));
  }
  const started = controls.flatMap(({ runs }) => [...runs]);
  if (random.chance(0.5)) await waitForLogs(started);
  await sleep(random.integer(0, 1_000));
  controls.forEach((control) => signalAll(control, "SIGKILL"));
};

const startWhileLeaving: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  await terminate(program, random);
  await sleep(random.integer(0, 100));
  await program.start();
};

const startWhileSuspended: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  const suspended = [...program.runs];
  suspended.forEach((run) => run.signal("SIGSTOP"));
  await sleep(random.integer(0, 300));
  await program.start();
  await sleep(random.integer(200, 4_000));
  suspended.forEach((run) => run.signal("SIGCONT"));
};

const stopOne: EndCourse = async ({ programs, random }) => {
  await terminate(random.pick(programs), random);
};

const killOne: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  signalAll(program, "SIGKILL");
  if (random.chance(0.5)) await program.start();
};

const killCore: EndCourse = async ({ controls, random }) => {
  controls.forEach((control) => signalAll(control, "SIGKILL"));
  if (random.chance(0.5)) return;
  await Promise.all(controls.map((control) => control.start()));
};

const restartInSeries: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  for (let left = random.integer(3, 6); left > 0; left--) {
    signalAll(program, "SIGKILL");
    await program.start();
    await sleep(random.integer(0, 300));
  }
};

const hangUpInSeries: EndCourse = async ({ programs, random }) => {
  for (let left = random.integer(5, 60); left > 0; left--) {
    random.pick(programs).runs.forEach(hangUp);
    await sleep(random.integer(0, 40));
  }
};

const hangUpDuringStart: EndCourse = async ({ programs, random }) => {
  const program = random.pick(programs);
  signalAll(program, "SIGKILL");
  await program.start();
  for (let left = random.integer(20, 100); left > 0; left--) {
    program.runs.forEach(hangUp);
    await sleep(random.integer(0, 20));
  }
};

const loseLogReader: EndCourse = ({ programs, random }) => {
  for (const run of random.pick(programs).runs) {
    if (run.hasLogged()) run.loseLogReader();
  }
  return Promise.resolve();
};

const loseDisk: EndCourse = async ({ controls, random, mayLoseDisk }) => {
  if (!mayLoseDisk()) return;
  const control = random.pick(controls);
  await control.hold();
  await rm(control.dataDir, { recursive: true, force: true });
  await mkdir(control.dataDir);
  control.release();
};

function open(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  return socket.on("error", () => {}).resume();
}

const sendBytes: EndCourse = async ({ programs, random }) => {
  for (let left = random.integer(5, 30); left > 0; left--) {
    for (const address of random.pick(programs).addresses) {
      const length = random.integer(1, 2_000);
      const bytes = Array.from({ length }, () => random.integer(0, 255));
      const isHttp = random.chance(0.3);
      const socket = open(address);
      if (isHttp) socket.write("POST / HTTP/1.1\r\n");
      socket.write(Uint8Array.from(bytes));
      if (random.chance(0.5)) socket.end();
      else void sleep(random.integer(0, 500)).then(() => socket.destroy());
    }
    await sleep(random.integer(0, 50));
  }
};

const openConnections: EndCourse = async ({ programs, random }) => {
  const { addresses } = random.pick(programs);
  const sockets = addresses.flatMap((address) =>
    Array.from({ length: random.integer(20, 120) }, () => open(address))
  );
  await sleep(random.integer(200, 2_000));
  for (const socket of sockets) {
    if (random.chance(0.5)) socket.resetAndDestroy();
    else socket.destroy();
  }
};

/** All courses. */
export const END_COURSES: readonly EndCourse[] = [
  startBeside,
  startBesideAll,
  startWhileLeaving,
  startWhileSuspended,
  stopOne,
  killOne,
  killCore,
  restartInSeries,
  hangUpInSeries,
  hangUpDuringStart,
  loseLogReader,
  loseDisk,
  sendBytes,
  openConnections,
];
