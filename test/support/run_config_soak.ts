/**
 * A fleet whose operators change the configuration at random, beside the loss of a
 * leader and gateways that come and go: whether what was acknowledged holds.
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
import { call, makeWireConfig, startServing, stopLeader } from "./fleet.ts";
import type { TestFleet, TestGateway } from "./fleet.ts";
import { listInvalidConfigs, makeAddedRoute } from "./make_config.ts";

/** What a soak plays. */
export interface RunConfigSoakOptions {
  readonly seed: number;
  /** Ms for which operators change the configuration. */
  readonly lengthMs: number;
}

/** What came of a soak. */
export interface ConfigSoakReport {
  readonly seed: number;
  /** Versions that were acknowledged. */
  readonly acknowledged: number;
  /** Routes of the last version. */
  readonly routes: number;
  /** Invalid configurations that were sent, and of those the acknowledged. */
  readonly invalid: number;
  readonly takenInvalid: number;
  /** Reads, and gateways, that came back to an older version. */
  readonly reverted: number;
  /** Documents that were read under a version and never sent so, or two under one. */
  readonly foreign: number;
  /** Requests on routes of the last version that were not served, and the reverse. */
  readonly misrouted: number;
}

/** Ms between two looks at the versions of gateways. */
const LOOK_INTERVAL_MS = 40;

/** Ms for a control process to answer an operator. */
const OPERATOR_TIMEOUT_MS = 1_000;

/** Routes that are asked for at each gateway in the end. */
const ASKED_ROUTES = 4;

/** Actors that draw by chance. */
const ACTORS = 7;

/**
 * Plays one seed.
 *
 * @param options - The seed and the length.
 * @returns What came of it.
 * @throws {Error} When the fleet does not begin to serve, or gateways don't come to
 * hold the last version.
 * @example
 * const report = await runConfigSoak({ seed: 1, lengthMs: 10_000 });
 */
export async function runConfigSoak(
  { seed, lengthMs }: RunConfigSoakOptions,
): Promise<ConfigSoakReport> {
  const drawFor = (actor: number) => createRandomSource(seed * ACTORS + actor);
  await using fleet = await startServing({ gateways: 4 });
  const untilMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= untilMs;
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
  noteSent(1, JSON.stringify(makeWireConfig(1)));

  function noteSent(version: number, text: string): void {
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

  async function change(random: RandomSource): Promise<void> {
    newestSent += random.integer(1, 4);
    const version = newestSent;
    const growth = random.chance(0.15) ? random.integer(200, 600) : 1;
    const kept = random.chance(0.2) ? added.slice(growth) : added;
    const fresh = Array.from({ length: growth }, () => nextRoute++);
    const routes = [...kept, ...fresh];
    added = routes;
    const text = makeDocument(version, routes);
    noteSent(version, text);
    if (random.chance(0.2)) race(version, routes, random);
    if (!await put(text, random)) return;
    tally.acknowledged += 1;
    newestAcknowledged = Math.max(newestAcknowledged, version);
  }

  // Another operator sends something else under the same version.
  function race(
    version: number,
    routes: readonly number[],
    random: RandomSource,
  ): void {
    const text = makeDocument(version, [...routes, nextRoute++]);
    noteSent(version, text);
    void put(text, random);
  }

  async function operate(random: RandomSource): Promise<void> {
    while (!isOver()) {
      const inStorm = random.chance(0.2) ? random.integer(5, 15) : 1;
      const changes: Promise<void>[] = [];
      for (let at = 0; at < inStorm && !isOver(); at++) {
        changes.push(change(random));
        if (inStorm > 1) await sleep(80);
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

  function noteRead(text: string, atLeast: number): number {
    const { version } = JSON.parse(text) as { version: number };
    const isSame = (read.get(version) ?? text) === text;
    if (!isSame || !sent.get(version)?.has(text)) tally.foreign += 1;
    if (version < atLeast) tally.reverted += 1;
    read.set(version, text);
    return version;
  }

  async function readBack(random: RandomSource): Promise<void> {
    while (!isOver()) {
      const atLeast = newestAcknowledged;
      const text = await readFrom(fleet, random);
      if (text !== undefined) noteRead(text, atLeast);
      await sleep(random.integer(20, 200));
    }
  }

  async function watchGateways(): Promise<void> {
    const held = new Map<TestGateway, number>();
    while (!isOver()) {
      for (const one of fleet.gateways) {
        const version = one.gateway.getVersion();
        if (version < (held.get(one) ?? -1)) tally.reverted += 1;
        if (version >= 0 && !sent.has(version)) tally.foreign += 1;
        held.set(one, version);
      }
      await sleep(LOOK_INTERVAL_MS);
    }
  }

  async function disturb(random: RandomSource): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(800, 2_000));
      const [oldest] = fleet.gateways.splice(0, 1);
      await Promise.all([fleet.addGateway(), oldest.gateway.stop()]);
    }
  }

  // Late: with a voter short the next leader takes no configuration for a while.
  async function loseLeader(random: RandomSource): Promise<void> {
    await sleep(lengthMs * (0.6 + 0.3 * random.number()));
    if (random.chance(0.7)) await stopLeader(fleet);
  }

  async function checkRoutes(text: string): Promise<void> {
    const { routes } = JSON.parse(text) as { routes: { pathPrefix: string }[] };
    const prefixes = routes.map(({ pathPrefix }) => pathPrefix);
    const asked = prefixes.filter((prefix) => prefix.startsWith("/added-"))
      .slice(-ASKED_ROUTES);
    const dropped = Array.from(
      { length: nextRoute },
      (_, at) => makeAddedRoute(at).pathPrefix,
    )
      .filter((prefix) => !prefixes.includes(prefix)).slice(0, ASKED_ROUTES);
    for (const { address } of fleet.gateways) {
      for (const prefix of [...asked, ...dropped]) {
        const { status } = await call(address, { path: `${prefix}1` });
        const isServed = status === 200;
        if (isServed !== asked.includes(prefix)) tally.misrouted += 1;
      }
    }
  }

  await Promise.all([
    operate(drawFor(0)),
    operate(drawFor(1)),
    sendInvalid(drawFor(2)),
    readBack(drawFor(3)),
    watchGateways(),
    disturb(drawFor(4)),
    loseLeader(drawFor(5)),
  ]);
  let last = "";
  await until("the last version is read", async () => {
    last = await readFrom(fleet, drawFor(6)) ?? "";
    return last !== "";
  });
  const version = noteRead(last, newestAcknowledged);
  await fleet.settle(version);
  await checkRoutes(last);
  const { routes } = JSON.parse(last) as { routes: object[] };
  return { seed, routes: routes.length, ...tally };
}

/** A control process's answer to an operator. */
interface OperatorAnswer {
  readonly status: number;
  readonly text: string;
}

async function send(
  fleet: TestFleet,
  { text, random }: { readonly text: string; readonly random: RandomSource },
): Promise<number | undefined> {
  const path = "/api/config/put";
  const answer = await ask(fleet, random, { path, method: "POST", body: text });
  return answer?.status;
}

async function readFrom(
  fleet: TestFleet,
  random: RandomSource,
): Promise<string | undefined> {
  const answer = await ask(fleet, random, { path: "/api/config/get" });
  return answer?.status === 200 ? answer.text : undefined;
}

// Undefined where the control process stops or is late: nothing is known then.
async function ask(
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
