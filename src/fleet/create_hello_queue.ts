/**
 * Hellos of gateways that can't be answered yet.
 *
 * All gateways look for a leader at once, and whoever is sent away asks again. So a
 * control process that knows no leader keeps a hello until it does: a gateway that
 * waits costs nothing, and the load of a search doesn't grow with its length. A
 * leader takes gateways in a few at a time, so that its heartbeats go out meanwhile.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** A hello that waits for its answer. */
export interface WaitingHello {
  /** Whether the gateway has gone elsewhere. */
  isClosed(): boolean;
  /** Takes the gateway in. */
  welcome(): void;
  /** Sends it to another control process; an empty address names none. */
  redirect(address: string): void;
}

/** What the queue needs of its program. */
export interface CreateHelloQueueOptions {
  readonly isLeader: () => boolean;
  /** Resolves once this process surely leads and knows what is recorded. */
  readonly confirmRead: () => Promise<void>;
  /** Address of a leader that was heard of just now; empty if none was. */
  readonly getLeaderAddress: () => string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
}

/** Hellos that wait for their answers. */
export interface HelloQueue {
  /** Answers a hello as soon as it can be answered. */
  take(hello: WaitingHello): void;
}

/** Ms between two looks at the hellos that wait for a leader. */
const LOOK_INTERVAL_MS = 50;

/** Ms after which a gateway is told that no leader is known here. */
const MAX_WAIT_MS = 10_000;

/** Gateways that are taken in within one turn of the event loop. */
const WELCOMES_PER_TURN = 8;

/**
 * Makes the queue, empty.
 *
 * @param options - Who leads, time, logs and metrics.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * queue.take({ isClosed, welcome, redirect });
 */
export function createHelloQueue(options: CreateHelloQueueOptions): HelloQueue {
  const { now, log, metrics } = options;
  // Those for which no leader is known, with the time at which they came.
  const waiting = new Map<WaitingHello, number>();
  // Those for which this process has to make sure that it leads.
  let arrived: WaitingHello[] = [];
  // Those that may be welcomed.
  const ready: WaitingHello[] = [];
  let welcomesLeft = WELCOMES_PER_TURN;
  let isTurnDue = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function look(): void {
    timer = undefined;
    for (const [hello, sinceMs] of waiting) {
      if (!answer(hello, sinceMs)) continue;
      waiting.delete(hello);
    }
    metrics.gauge("control.hellos_waiting", waiting.size);
    if (waiting.size > 0) armLook();
  }

  function armLook(): void {
    timer ??= setTimeout(look, LOOK_INTERVAL_MS);
  }

  function answer(hello: WaitingHello, sinceMs: number): boolean {
    if (hello.isClosed()) return true;
    if (options.isLeader()) {
      if (arrived.length === 0) queueMicrotask(admitArrived);
      arrived.push(hello);
      return true;
    }
    const address = options.getLeaderAddress();
    if (address === "" && now() - sinceMs < MAX_WAIT_MS) return false;
    metrics.count("control.hellos_redirected");
    hello.redirect(address);
    return true;
  }

  async function admitArrived(): Promise<void> {
    const admitted = arrived;
    arrived = [];
    try {
      await options.confirmRead();
    } catch (error) {
      log("callFailed", { call: "hello", count: admitted.length, error });
      return admitted.forEach(wait);
    }
    ready.push(...admitted);
    welcomeReady();
  }

  function wait(hello: WaitingHello): void {
    waiting.set(hello, now());
    armLook();
  }

  function welcomeReady(): void {
    while (welcomesLeft > 0 && ready.length > 0) welcome(ready.shift());
    if (welcomesLeft === WELCOMES_PER_TURN || isTurnDue) return;
    isTurnDue = true;
    setImmediate(beginTurn);
  }

  function beginTurn(): void {
    isTurnDue = false;
    welcomesLeft = WELCOMES_PER_TURN;
    welcomeReady();
  }

  function welcome(hello: WaitingHello | undefined): void {
    if (!hello || hello.isClosed()) return;
    // It lost its lead while the hello was in line.
    if (!options.isLeader()) return wait(hello);
    welcomesLeft -= 1;
    hello.welcome();
  }

  return {
    take(hello) {
      metrics.count("control.hellos");
      if (!answer(hello, now())) wait(hello);
    },
  };
}
