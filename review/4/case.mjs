// Engines are full in a burst, and some send a second copy of an answer late, in the place
// of the next one expected. A stream that may not be resumed must run at most once.
import { fileURLToPath } from "node:url";
import net from "node:net";
import * as fleet from "../support-2/fleet.mjs";

const ENGINES = 2;
/** Engines that send surplus answers: a share of 0.5. */
const FAULTY = 1;
/**
 * Answers of a faulty engine for each one that is sent twice, the next refusal after them:
 * a share below 0.03.
 */
const SURPLUS_EVERY = 34;
const WINDOW_MS = 5_000;
const WINDOWS = 14;
const PAUSE_MS = 1_000;
const SLOTS = 1;
const WORK_MS = 100;

fleet.openRecord(fileURLToPath(new URL("record.txt", import.meta.url)));
const machines = fleet.planMachines({ core: 3, others: 2 });
const core = machines.filter(({ hasDisk }) => hasDisk);
fleet.startFleet(machines);
const config = fleet.makeConfig({
  routes: [{
    name: "r-1",
    pathPrefix: "/booking/",
    routeType: "stream",
    service: "booking",
    maxAttempts: 1,
    targetLatencyMs: 2_000,
    targetGapMs: 500,
  }],
  services: ["booking"],
});
const { status } = await fleet.putConfig(core, config);
if (status !== 200) process.exit(2);

let isFaulty = false;
const runs = new Map();
const counts = { runs: 0, refused: 0, surplus: 0 };

// It serves one request at a time on a connection, and refuses what exceeds its slots.
async function startEngine(at) {
  const host = fleet.takeHost();
  const id = `i-${fleet.makeId()}`;
  let running = 0;
  let answers = 0;
  const server = net.createServer((socket) => {
    let surplus = "";
    let received = "";
    socket.on("error", () => {});
    socket.on("data", async (chunk) => {
      received += chunk.toString("latin1");
      const end = received.indexOf("\r\n\r\n");
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
      if (end < 0 || received.length < end + 4 + length) return;
      const head = received.slice(0, end);
      received = "";
      const attempt = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
      // Queries of the system itself use no slot and are no requests of a client.
      if (attempt === "") {
        const body = "{}";
        socket.write(
          `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        );
        return;
      }
      const expected = /x-expect-instance: (\S+)/i.exec(head)?.[1] ?? id;
      // The copy of the answer before arrives in the place of the one expected now.
      if (surplus !== "") {
        fleet.record(
          `engine ${id}: the surplus answer arrives, ${attempt} is expected`,
        );
        socket.write(surplus);
        surplus = "";
      }
      const send = (text) => {
        socket.write(text);
        if (!isFaulty || at >= FAULTY) return;
        answers += 1;
        const isRefusal = text.startsWith("HTTP/1.1 503");
        if (answers < SURPLUS_EVERY || !isRefusal) return;
        answers = 0;
        surplus = text;
        counts.surplus += 1;
        fleet.record(`engine ${id}: will send its answer to ${attempt} twice`);
      };
      const lines = [`X-Attempt-Id: ${attempt}`, "X-Server-Seal: seal-31"];
      const refuse = (code) =>
        send(
          [
            `HTTP/1.1 ${code} Refused`,
            ...lines,
            "X-Not-Executed: 1",
            "Content-Length: 0",
            "",
            "",
          ]
            .join("\r\n"),
        );
      if (expected !== id) return refuse(421);
      if (running >= SLOTS) {
        counts.refused += 1;
        return refuse(503);
      }
      running += 1;
      counts.runs += 1;
      runs.set(attempt, [...runs.get(attempt) ?? [], id]);
      fleet.record(`engine ${id}: runs ${attempt}`);
      await fleet.sleep(WORK_MS);
      running -= 1;
      const events = "id: 1\ndata: booked\n\n";
      send(
        [
          "HTTP/1.1 200 OK",
          ...lines,
          "Content-Type: text/event-stream",
          `Content-Length: ${events.length}`,
          "",
          events,
        ].join("\r\n"),
      );
    });
  });
  await new Promise((resolve) => server.listen(8080, host, resolve));
  let seq = 0;
  const beat = () =>
    fleet.callControl(core, {
      method: "POST",
      path: `/api/instances/${id}/heartbeat`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        service: "booking",
        address: `${host}:8080`,
        zone: "z-a",
        version: "v1",
        slots: SLOTS,
        state: "ready",
        coldLeftMs: 0,
        seq: ++seq,
      }),
    }, { tries: 3 });
  await beat();
  setInterval(beat, 1_200);
}
for (let at = 0; at < ENGINES; at++) await startEngine(at);
await fleet.waitReady(machines);
await fleet.sleep(4_000);

let isOver = false;
const statuses = {};
async function keepCalling(machine) {
  while (!isOver) {
    const id = fleet.makeId();
    const answer = await fleet.call({
      ...fleet.front(machine),
      method: "POST",
      path: `/booking/${id}`,
      headers: {
        host: "review.example",
        "x-attempt-id": id,
        "x-deadline-ms": "5000",
      },
      body: "{}",
    });
    statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
    fleet.record(`client: ${id}: status ${answer.status}`);
    const waitS = Number(answer.headers?.["retry-after"] ?? 0);
    await fleet.sleep(20 + waitS * 1_000);
  }
}
const callers = machines.map(keepCalling);
for (let window = 0; window < WINDOWS; window++) {
  await fleet.sleep(PAUSE_MS);
  isFaulty = fleet.withTrouble;
  await fleet.sleep(WINDOW_MS);
  isFaulty = false;
}
isOver = true;
await Promise.all(callers);
await fleet.sleep(WORK_MS + 200);

const doubled = [...runs].filter(([, engines]) => engines.length > 1);
for (const [attempt, engines] of doubled) {
  fleet.record(`${attempt} ran ${engines.length} times: ${engines.join(", ")}`);
}
fleet.record(
  `${doubled.length} requests ran more than once; ${counts.runs} runs, ${counts.refused} refusals, ${counts.surplus} surplus answers`,
);
console.log(`doubled ${doubled.length}`, counts, statuses);
process.exit(doubled.length > 0 ? fleet.BROKEN : 0);
