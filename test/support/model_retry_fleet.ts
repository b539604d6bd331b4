/**
 * A model of a fleet that sends retries: the real retry budgets of gateways and leader,
 * driven by a simulated clock, a network with delays, and random failures.
 *
 * @module
 */

import type { FleetCommand } from "../../src/fleet/index.ts";
import { createRandomSource } from "../../proof/random_source.ts";
import {
  createGatewayModel,
  createLeaderModel,
  type GatewayModel,
  type LeaderModel,
  type QuorumLog,
  type RetryFleetLimits,
} from "./retry_budget_models.ts";

/** Settings of a simulated fleet. */
export interface RetryFleetOptions extends RetryFleetLimits {
  readonly seed: number;
  readonly gateways: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
  /** Failures to draw from; none by default. */
  readonly failures?: readonly RetryFleetFailure[];
  /** Mean time, in ms, between two failures. */
  readonly failureIntervalMs?: number;
  /** Gateways that need retries, without bound, at a time; all of them by default. */
  readonly needs?: (nowMs: number, at: number) => boolean;
}

/** A kind of failure. */
export type RetryFleetFailure =
  | "kill"
  | "stopInTurn"
  | "cut"
  | "freeze"
  | "leaderChange"
  | "grow"
  | "shrink";

/** What a fleet sent. */
export interface RetryFleetResult {
  /** Most retries beyond the limit in any window; 0 or less if it was kept. */
  readonly mostBeyondLimit: number;
  /** Retries over the limit in the window where most of it was used. */
  readonly highestUse: number;
  readonly retries: number;
  /** The failures, in order, for the trace of a broken limit. */
  readonly events: readonly string[];
}

/** A VM with at most one process of a gateway. */
interface Vm {
  readonly name: string;
  process: GatewayModel | undefined;
  /** When the next process starts; undefined if the VM has left. */
  startsMs: number | undefined;
  frozenUntilMs: number;
  cutUntilMs: number;
  joinsMs: number;
  isMember: boolean;
  nextBeatMs: number;
}

interface Message {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Ms of one step. */
const STEP_MS = 25;

/** Ms between two regular heartbeats of a gateway. */
const HEARTBEAT_MS = 350;

/** Ms without a heartbeat after which the leader removes a gateway. */
const SESSION_TIMEOUT_MS = 1_500;

/** Ms between two rounds of the leader's periodic work. */
const TICK_MS = 250;

/** Retries that a gateway in need tries to send in one step. */
const TRIES_PER_STEP = 12;

/**
 * Runs a fleet.
 *
 * @param options - Its size, load, limits and failures.
 * @returns A promise of what it sent, compared with its limit.
 * @throws Nothing.
 * @example
 * const { mostBeyondLimit } = await runRetryFleet({ ...options, seed: 1 });
 */
export async function runRetryFleet(
  options: RetryFleetOptions,
): Promise<RetryFleetResult> {
  const { failures = [], needs = () => true } = options;
  const source = createRandomSource(options.seed);
  // The first numbers of small seeds are alike.
  for (let skipped = 0; skipped < 20; skipped++) source.number();
  const clock = { nowMs: 0 };
  const now = () => clock.nowMs;
  const requestsMs: number[] = [];
  const retriesMs: number[] = [];
  const events: string[] = [];
  let messages: Message[] = [];
  let nextTickMs = 0;
  let nextFailureMs = source.exponential(options.failureIntervalMs ?? Infinity);
  // What all leaders share: the log of the quorum.
  const proposals = new Set<(isCommitted: boolean) => void>();
  const quorumLog: QuorumLog = { ceilings: new Map(), propose };
  let leader: LeaderModel = makeLeader();
  let sessions = new Map<string, number>();
  const vms = Array.from({ length: options.gateways }, (_, at) => makeVm(at));

  function makeLeader(): LeaderModel {
    return createLeaderModel({ ...options, quorumLog, now });
  }

  function makeVm(at: number): Vm {
    return {
      name: `vm-${at}`,
      process: undefined,
      startsMs: clock.nowMs,
      frozenUntilMs: 0,
      cutUntilMs: 0,
      joinsMs: 0,
      isMember: false,
      nextBeatMs: 0,
    };
  }

  function propose(command: FleetCommand): Promise<unknown> {
    return new Promise((resolve, reject) => {
      function settle(isCommitted: boolean): void {
        if (!proposals.delete(settle)) return;
        if (!isCommitted) return reject(new Error("not the leader"));
        if (command.type !== "retryCeilings") return;
        for (const [service, ceiling] of command.ceilings) {
          quorumLog.ceilings.set(service, ceiling);
        }
        resolve(undefined);
      }
      proposals.add(settle);
      send(() => settle(true));
    });
  }

  function send(deliver: () => void): void {
    const delayMs = source.chance(0.02)
      ? source.integer(50, 400)
      : source.integer(0, 20);
    messages.push({ dueMs: clock.nowMs + delayMs, deliver });
  }

  function isUp({ process, frozenUntilMs }: Vm): boolean {
    return process !== undefined && frozenUntilMs <= clock.nowMs;
  }

  function isConnected(vm: Vm): boolean {
    return isUp(vm) && vm.cutUntilMs <= clock.nowMs;
  }

  function startProcesses(): void {
    for (const vm of vms) {
      if (vm.process || vm.startsMs === undefined) continue;
      if (vm.startsMs > clock.nowMs) continue;
      vm.process = createGatewayModel({ ...options, now });
      vm.isMember = false;
      vm.joinsMs = clock.nowMs + source.integer(20, 300);
    }
  }

  function killProcess(vm: Vm, downMs: number): void {
    vm.process = undefined;
    vm.isMember = false;
    vm.startsMs = clock.nowMs + downMs;
  }

  function join(vm: Vm): void {
    const { process } = vm;
    vm.isMember = true;
    sessions.set(vm.name, clock.nowMs);
    process?.handleWelcome(leader.name);
  }

  function beat(vm: Vm): void {
    const { process, name } = vm;
    if (!process) return;
    const receiver = leader;
    const report = process.takeBeat();
    vm.nextBeatMs = clock.nowMs + HEARTBEAT_MS;
    send(() => {
      if (receiver !== leader || !sessions.has(name)) return;
      if (vm.cutUntilMs > clock.nowMs) return;
      sessions.set(name, clock.nowMs);
      void receiver.handleBeat(process.name, report).then((reply) => {
        if (!reply) return;
        send(() => {
          // Messages of an earlier session are dropped.
          if (receiver !== leader || !vm.isMember) return;
          if (vm.process !== process || !isConnected(vm)) return;
          process.handleReply(reply);
        });
      });
    });
  }

  function runGateways(): void {
    for (const vm of vms) {
      if (!isUp(vm)) continue;
      if (!isConnected(vm)) {
        vm.isMember = false;
        vm.joinsMs = Math.max(
          vm.joinsMs,
          vm.cutUntilMs + source.integer(20, 300),
        );
        continue;
      }
      if (!vm.isMember) {
        if (clock.nowMs >= vm.joinsMs) join(vm);
      } else if (clock.nowMs >= vm.nextBeatMs || vm.process?.isBeatDue()) {
        beat(vm);
      }
    }
  }

  function runLeader(): void {
    for (const [name, seenMs] of sessions) {
      if (clock.nowMs - seenMs < SESSION_TIMEOUT_MS) continue;
      sessions.delete(name);
      const vm = vms.find((one) => one.name === name);
      if (vm) vm.isMember = false;
    }
    if (clock.nowMs < nextTickMs) return;
    nextTickMs = clock.nowMs + TICK_MS;
    leader.tick();
  }

  // The callers of a gateway that is gone use the others.
  function takeRequests(): void {
    const serving = vms.filter(isUp);
    if (serving.length === 0) return;
    const mean = options.requestsPerS * STEP_MS / 1_000;
    const count = Math.floor(mean) + (source.chance(mean % 1) ? 1 : 0);
    for (let at = 0; at < count; at++) {
      source.pick(serving).process?.noteRequest();
      requestsMs.push(clock.nowMs);
    }
  }

  function sendRetries(): void {
    vms.forEach((vm, at) => {
      if (!isUp(vm) || !needs(clock.nowMs, at)) return;
      for (let tries = 0; tries < TRIES_PER_STEP; tries++) {
        if (!vm.process?.spend()) return;
        retriesMs.push(clock.nowMs);
      }
    });
  }

  function pickShare(share: number): Vm[] {
    return vms.filter((vm) =>
      vm.startsMs !== undefined && source.chance(share)
    );
  }

  function changeLeader(): void {
    leader.end();
    // What the old leader proposed is committed before the new one begins, or lost.
    for (const settle of proposals) settle(source.chance(0.7));
    leader = makeLeader();
    sessions = new Map();
    for (const vm of vms) {
      vm.isMember = false;
      vm.joinsMs = clock.nowMs + source.integer(600, 2_000);
    }
  }

  function fail(failure: RetryFleetFailure): void {
    const share = source.pick([0.1, 0.3, 0.6, 1]);
    const forMs = source.integer(1_000, 8_000);
    events.push(`${clock.nowMs} ${failure} ${share} ${forMs}`);
    switch (failure) {
      case "kill":
        return pickShare(share).forEach((vm) => killProcess(vm, 1_000));
      case "stopInTurn":
        return pickShare(share).forEach((vm, at) => {
          const dueMs = clock.nowMs + 500 * Math.floor(at / 8);
          messages.push({ dueMs, deliver: () => killProcess(vm, 500) });
        });
      case "cut":
        return pickShare(share).forEach((vm) => {
          vm.cutUntilMs = clock.nowMs + forMs;
        });
      case "freeze":
        return pickShare(share / 2).forEach((vm) => {
          vm.frozenUntilMs = clock.nowMs + forMs;
        });
      case "leaderChange":
        return changeLeader();
      case "grow":
        for (let added = 0; added < vms.length * share / 4; added++) {
          vms.push(makeVm(vms.length));
        }
        return;
      case "shrink":
        return pickShare(share / 4).forEach((vm) => {
          killProcess(vm, 0);
          vm.startsMs = undefined;
        });
    }
  }

  for (; clock.nowMs < options.durationMs; clock.nowMs += STEP_MS) {
    if (clock.nowMs >= nextFailureMs && failures.length > 0) {
      fail(source.pick(failures));
      nextFailureMs += source.exponential(
        options.failureIntervalMs ?? Infinity,
      );
    }
    startProcesses();
    const due = messages.filter(({ dueMs }) => dueMs <= clock.nowMs);
    messages = messages.filter(({ dueMs }) => dueMs > clock.nowMs);
    due.forEach(({ deliver }) => deliver());
    // Lets what was proposed or asked go on.
    await new Promise(setImmediate);
    takeRequests();
    sendRetries();
    runGateways();
    runLeader();
  }
  return { ...compare(options, { requestsMs, retriesMs }), events };
}

/** Compares what was sent in each window with what the limit allows there. */
function compare(
  { ratio, extra, windowMs }: RetryFleetLimits,
  { requestsMs, retriesMs }: {
    readonly requestsMs: readonly number[];
    readonly retriesMs: readonly number[];
  },
): Omit<RetryFleetResult, "events"> {
  let mostBeyondLimit = -Infinity;
  let highestUse = 0;
  const endsMs = new Set(retriesMs);
  for (const endMs of endsMs) {
    const sent = countIn(retriesMs, endMs - windowMs, endMs);
    const requests = Math.max(
      ...[0, windowMs / 2, windowMs].map((agoMs) =>
        countIn(requestsMs, endMs - agoMs - windowMs, endMs - agoMs)
      ),
    );
    const allowed = ratio * requests + extra;
    mostBeyondLimit = Math.max(mostBeyondLimit, sent - allowed);
    highestUse = Math.max(highestUse, sent / allowed);
  }
  return { mostBeyondLimit, highestUse, retries: retriesMs.length };
}

/** Number of the sorted times after `fromMs`, up to and including `toMs`. */
function countIn(
  timesMs: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return findAfter(timesMs, toMs) - findAfter(timesMs, fromMs);
}

/** Index of the first of the sorted times that is later than `limitMs`. */
function findAfter(timesMs: readonly number[], limitMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle] > limitMs) high = middle;
    else low = middle + 1;
  }
  return low;
}
