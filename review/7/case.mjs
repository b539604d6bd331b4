// The leader acknowledges that an engine is draining and is killed at once, and the engine's
// zone loses control for a while. The next leader lists the engine as ready again, and
// gateways that have had no answer from it since send to it.
import { fileURLToPath } from "node:url";
import * as fleet from "../support-2/fleet.mjs";

const { BOUNDS } = fleet;
const CUT_MS = 5_000;
/** Ms after which the platform starts a killed process again. */
const RESTART_MS = 100;
/** Mean pause of a gateway's caller between two requests: a quiet day. */
const REST_MS = 350;
const ENGINES = 7;
/** How often an engine leaves and the leader is killed. */
const TIMES = 3;

fleet.openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const machines = fleet.planMachines({ core: 3, others: 8 });
const core = machines.filter(({ hasDisk }) => hasDisk);
const { seeds } = await fleet.startFleet(machines);
const config = fleet.makeConfig({
  routes: [{
    name: "r-1",
    pathPrefix: "/read/",
    routeType: "safe",
    service: "dash",
  }],
  services: ["dash"],
});
const { status } = await fleet.putConfig(core, config);
if (status !== 200) process.exit(2);

const arrivals = [];
const engines = [];
for (let at = 0; at < ENGINES; at++) {
  const engine = new fleet.Engine({
    service: "dash",
    machines: core,
    serve(request, response) {
      arrivals.push({
        engine,
        atMs: performance.now(),
        id: request.headers["x-attempt-id"],
      });
      setTimeout(
        () => engine.answer(request, response, Buffer.from("row")),
        40,
      );
    },
  });
  engines.push(await engine.start());
}
await fleet.waitReady(machines);
await fleet.sleep(4_000);

const sentBy = new Map();
let isOver = false;
async function keepCalling(machine) {
  while (!isOver) {
    const id = fleet.makeId();
    sentBy.set(id, machine);
    await fleet.call({
      ...fleet.front(machine),
      path: `/read/${id}`,
      headers: {
        host: "review.example",
        "x-attempt-id": id,
        "x-deadline-ms": "3000",
      },
    });
    await fleet.sleep(REST_MS * (0.5 + Math.random()));
  }
}
const callers = machines.map(keepCalling);
await fleet.sleep(2_000);

// Lets an engine leave; resolves with what arrived at it too late.
async function leave(leaving) {
  // The engine reports to the leader, whose address its last heartbeat was told.
  const { body } = await leaving.beat();
  const { beatAddr } = JSON.parse(body);
  const leader = core.find(({ ip }) => beatAddr.startsWith(`${ip}:`));
  if (!leader) process.exit(2);
  clearInterval(leaving.timer);
  await fleet.sleep(Math.random() * 1_200);
  leaving.state = "draining";
  leaving.machines = [leader];
  const answer = await leaving.beat();
  const acknowledgedMs = performance.now();
  fleet.record(
    `${leaving.id}: says draining, answer ${answer.status} of ${leader.name}`,
  );
  if (answer.status !== 200) process.exit(2);
  leaving.machines = core;
  let inTouchMs = acknowledgedMs;
  if (fleet.withTrouble) {
    for (const child of Object.values(leader.processes)) child.kill("SIGKILL");
    fleet.record(
      `${leader.name}: killed; ${leaving.id} does not reach control for ${CUT_MS} ms`,
    );
    await fleet.sleep(RESTART_MS);
    fleet.startProcess(leader, "control", { seeds, bootstrap: false });
    fleet.startProcess(leader, "entry", { seeds, bootstrap: false });
    inTouchMs = performance.now() + BOUNDS.contactMs + 50;
  }
  await fleet.sleep(acknowledgedMs + CUT_MS - performance.now());
  leaving.timer = setInterval(() => void leaving.beat(), 1_200);
  await fleet.sleep(acknowledgedMs + 7_000 - performance.now());
  clearInterval(leaving.timer);
  const dueMs = acknowledgedMs + BOUNDS.drainMs;
  const late = arrivals.filter(({ engine, atMs, id }) =>
    engine === leaving && atMs > dueMs && atMs > inTouchMs &&
    (!fleet.withTrouble || sentBy.get(id) !== leader)
  );
  for (const { atMs, id } of late) {
    fleet.record(
      `${id}, sent on by ${sentBy.get(id).name}, reached ${leaving.id} ${
        Math.round(atMs - acknowledgedMs)
      } ms after it was acknowledged as draining`,
    );
  }
  // It ends, and control learns of that by its deregistration.
  await fleet.callControl(core, {
    method: "POST",
    path: `/api/instances/${leaving.id}/deregister`,
  });
  await fleet.sleep(500);
  leaving.stop();
  return late.length;
}

let late = 0;
for (let time = 0; time < TIMES; time++) {
  late += await leave(engines[time]);
  await fleet.sleep(3_500);
}
isOver = true;
await Promise.all(callers);
fleet.record(
  `${late} requests sent on by machines in touch arrived after drainMs`,
);
console.log(`late ${late} in ${TIMES} times`);
process.exit(late > 0 ? fleet.BROKEN : 0);
