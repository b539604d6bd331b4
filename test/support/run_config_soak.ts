/**
 * Soak test of configuration changes: operators change the configuration at random
 * while gateways are replaced and the leader may stop. Checks that acknowledged
 * versions are kept and applied.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { until } from "../../demo/until.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../proof/random_source.ts";
import {
  call,
  makeWireConfig,
  startServingFleet,
  stopLeader,
} from "./fleet.ts";
import type { TestFleet, TestGateway } from "./fleet.ts";
import { listInvalidConfigs, makeAddedRoute } from "./make_config.ts";

/** Options of {@link runConfigSoak}. */
export interface RunConfigSoakOptions {
  readonly seed: number;
  /** Ms during which operators change the configuration. */
  readonly lengthMs: number;
}

/** Counts of one run. */
export interface ConfigSoakReport {
  readonly seed: number;
  /** Acknowledged versions. */
  readonly acknowledged: number;
  /** Number of routes in the last version. */
  readonly routes: number;
  /** Invalid configurations sent, and how many of them were acknowledged. */
  readonly invalid: number;
  readonly takenInvalid: number;
  /** Times that a read or a gateway went back to an older version. */
  readonly reverted: number;
  /** Reads of a document that was never sent, or of two documents of one version. */
  readonly foreign: number;
  /** Requests not served on routes of the last version, or served on removed ones. */
  readonly misrouted: number;
}

/** Ms between two checks of the gateways' versions. */
const POLL_INTERVAL_MS = 40;

/** Time limit, in ms, for a control process to answer an operator. */
const OPERATOR_TIMEOUT_MS = 1_000;

/** Number of present and of removed routes that are requested at each gateway. */
const CHECKED_ROUTES = 4;

/** Number of actors that draw random numbers. */
const ACTOR_COUNT = 7;

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed and the duration.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving, or the gateways do not reach
 * the last version.
 * @example
 * const report = await runConfigSoak({ seed: 1, lengthMs: 10_000 });
 */
export async function runConfigSoak(
  { seed, lengthMs }: RunConfigSoakOptions,
): Promise<ConfigSoakReport> {
  const createRandomFor = (actor: number) =>
    createRandomSource(seed * ACTOR_COUNT + actor);
  await using fleet = await startServingFleet({ gateways: 4 });
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;
  const sent = new Map<number, Set<string>>();
  const read = new Map<number, string>();
  const tally = {
    acknowledged: 0,
    invalid: 0,
    takenInvalid: 0,
    reverted: 0,
    foreign: 0,
    misrouted: 0,
  };
  let newestSent = 1;
  let newestAcknowledged = 1;
  let added: readonly number[] = [];
  let nextRoute = 0;
  recordSent(1, JSON.stringify(makeWireConfig(1)));

  function recordSent(version: number, text: string): void {
    const texts = sent.get(version) ?? new Set<string>();
    sent.set(version, texts.add(text));
  }

  function makeDocument(version: number, routes: readonly number[]): string {
    const config = makeWireConfig(version) as { routes: object[] };
    const all = [...config.routes, ...routes.map(makeAddedRoute)];
    return JSON.stringify({ ...config, routes: all });
  }

  async function put(text: string, random: RandomSource): Promise<boolean> {
    while (!isOver()) {
      const status = await send(fleet, { text, random });
      if (status !== undefined && status < 500) return status === 200;
      await sleep(random.integer(20, 120));
    }
    return false;
  }

  async function sendChange(random: RandomSource): Promise<void> {
    newestSent += random.integer(1, 4);
    const version = newestSent;
    const addedCount = random.chance(0.15) ? random.integer(200, 600) : 1;
    const kept = random.chance(0.2) ? added.slice(addedCount) : added;
    const addedNow = Array.from({ length: addedCount }, () => nextRoute++);
    const routes = [...kept, ...addedNow];
    added = routes;
    const text = makeDocument(version, routes);
    recordSent(version, text);
    if (random.chance(0.2)) sendCompetingDocument(version, routes, random);
    if (!await put(text, random)) return;
    tally.acknowledged += 1;
    newestAcknowledged = Math.max(newestAcknowledged, version);
  }

  // Another operator sends a different document with the same version.
  function sendCompetingDocument(
    version: number,
    routes: readonly number[],
    random: RandomSource,
  ): void {
    const text = makeDocument(version, [...routes, nextRoute++]);
    recordSent(version, text);
    void put(text, random);
  }

  async function runOperator(random: RandomSource): Promise<void> {
    while (!isOver()) {
      const burstSize = random.chance(0.2) ? random.integer(5, 15) : 1;
      const changes: Promise<void>[] = [];
      for (let at = 0; at < burstSize && !isOver(); at++) {
        changes.push(sendChange(random));
        if (burstSize > 1) await sleep(80);
      }
      await Promise.all(changes);
      await sleep(random.integer(50, 600));
    }
  }

  async function sendInvalid(random: RandomSource): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(100, 500));
      const version = newestSent + random.integer(-2, 20);
      const text = random.pick(listInvalidConfigs(Math.max(2, version)));
      tally.invalid += 1;
      const status = await send(fleet, { text, random });
      if (status === 200) tally.takenInvalid += 1;
    }
  }

  function recordRead(text: string, atLeast: number): number {
    const { version } = JSON.parse(text) as { version: number };
    const isSame = (read.get(version) ?? text) === text;
    if (!isSame || !sent.get(version)?.has(text)) tally.foreign += 1;
    if (version < atLeast) tally.reverted += 1;
    read.set(version, text);
    return version;
  }

  async function checkReads(random: RandomSource): Promise<void> {
    while (!isOver()) {
      const atLeast = newestAcknowledged;
      const text = await readFrom(fleet, random);
      if (text !== undefined) recordRead(text, atLeast);
      await sleep(random.integer(20, 200));
    }
  }

  async function watchGateways(): Promise<void> {
    const lastVersions = new Map<TestGateway, number>();
    while (!isOver()) {
      for (const one of fleet.gateways) {
        const version = one.gateway.getVersion();
        if (version < (lastVersions.get(one) ?? -1)) tally.reverted += 1;
        if (version >= 0 && !sent.has(version)) tally.foreign += 1;
        lastVersions.set(one, version);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async function replaceGateways(random: RandomSource): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(800, 2_000));
      const [oldest] = fleet.gateways.splice(0, 1);
      await Promise.all([fleet.addGateway(), oldest.gateway.stop()]);
    }
  }

  // Late in the run, because the next leader has one voter less and accepts no
  // configuration for a while.
  async function maybeStopLeader(random: RandomSource): Promise<void> {
    await sleep(lengthMs * (0.6 + 0.3 * random.number()));
    if (random.chance(0.7)) await stopLeader(fleet);
  }

  async function checkRoutes(text: string): Promise<void> {
    const { routes } = JSON.parse(text) as { routes: { pathPrefix: string }[] };
    const prefixes = routes.map(({ pathPrefix }) => pathPrefix);
    const present = prefixes.filter((prefix) => prefix.startsWith("/added-"))
      .slice(-CHECKED_ROUTES);
    const removed = Array.from(
      { length: nextRoute },
      (_, at) => makeAddedRoute(at).pathPrefix,
    )
      .filter((prefix) => !prefixes.includes(prefix)).slice(0, CHECKED_ROUTES);
    for (const { address } of fleet.gateways) {
      for (const prefix of [...present, ...removed]) {
        const { status } = await call(address, { path: `${prefix}1` });
        const isServed = status === 200;
        if (isServed !== present.includes(prefix)) tally.misrouted += 1;
      }
    }
  }

  await Promise.all([
    runOperator(createRandomFor(0)),
    runOperator(createRandomFor(1)),
    sendInvalid(createRandomFor(2)),
    checkReads(createRandomFor(3)),
    watchGateways(),
    replaceGateways(createRandomFor(4)),
    maybeStopLeader(createRandomFor(5)),
  ]);
  let last = "";
  await until("the last version can be read", async () => {
    last = await readFrom(fleet, createRandomFor(6)) ?? "";
    return last !== "";
  });
  const version = recordRead(last, newestAcknowledged);
  await fleet.waitForVersion(version);
  await checkRoutes(last);
  const { routes } = JSON.parse(last) as { routes: object[] };
  return { seed, routes: routes.length, ...tally };
}

/** The answer of a control process to an operator. */
interface OperatorAnswer {
  readonly status: number;
  readonly text: string;
}

async function send(
  fleet: TestFleet,
  { text, random }: { readonly text: string; readonly random: RandomSource },
): Promise<number | undefined> {
  const path = "/api/config/put";
  const answer = await callControl(fleet, random, {
    path,
    method: "POST",
    body: text,
  });
  return answer?.status;
}

async function readFrom(
  fleet: TestFleet,
  random: RandomSource,
): Promise<string | undefined> {
  const answer = await callControl(fleet, random, { path: "/api/config/get" });
  return answer?.status === 200 ? answer.text : undefined;
}

// Undefined if the control process stops or exceeds the time limit: the outcome is
// unknown then.
async function callControl(
  fleet: TestFleet,
  random: RandomSource,
  { path, ...options }: {
    readonly path: string;
    readonly method?: "POST";
    readonly body?: string;
  },
): Promise<OperatorAnswer | undefined> {
  const { callerAddress } = random.pick(fleet.controls);
  try {
    const answer = await request(`http://${callerAddress}${path}`, {
      ...options,
      signal: AbortSignal.timeout(OPERATOR_TIMEOUT_MS),
    });
    return { status: answer.statusCode, text: await answer.body.text() };
  } catch {
    return undefined;
  }
}
