/**
 * Queue of gateways' hellos that can't be answered yet.
 *
 * After a leader change all gateways search for the new leader at once, and a gateway
 * that is turned down retries. A control process that knows no leader therefore holds
 * each hello until it does: a waiting gateway costs nothing, and the load doesn't grow
 * with the length of the search. A leader welcomes a few gateways per turn of the event
 * loop, so that its own heartbeats are sent in between.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** A hello that has not been answered yet. */
export interface PendingHello {
  /** Whether the gateway has closed the session. */
  isClosed(): boolean;
  /** Opens the gateway's session with this leader. */
  welcome(): void;
  /** Redirects it to another control process; empty if no leader is known. */
  redirect(address: string): void;
}

/** Dependencies of {@link createHelloQueue}. */
export interface CreateHelloQueueOptions {
  readonly isLeader: () => boolean;
  /**
   * Resolves once a quorum has confirmed that this process leads and it has applied
   * what earlier leaders recorded.
   */
  readonly confirmRead: () => Promise<void>;
  /** Address of a leader that was in contact recently; empty if there is none. */
  readonly getLeaderAddress: () => string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
}

/** Queue of hellos. */
export interface HelloQueue {
  /** Answers a hello now if possible, and otherwise once a leader is known. */
  enqueue(hello: PendingHello): void;
}

/** Ms between two checks of the hellos that wait for a leader. */
const CHECK_INTERVAL_MS = 50;

/** Longest time, in ms, that a hello waits before its gateway is redirected elsewhere. */
const MAX_WAIT_MS = 10_000;

/** Gateways that are welcomed within one turn of the event loop. */
const MAX_WELCOMES_PER_TURN = 8;

/**
 * Creates an empty queue.
 *
 * @param options - Leadership, clock, logger and metrics.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * queue.take({ isClosed, welcome, redirect });
 */
export function createHelloQueue(options: CreateHelloQueueOptions): HelloQueue {
  const { now, log, metrics } = options;
  // Hellos that wait until a leader is known, with their time of arrival.
  const waiting = new Map<PendingHello, number>();
  // Hellos that wait until this process has confirmed that it leads.
  let unconfirmed: PendingHello[] = [];
  // Hellos that may be welcomed.
  const ready: PendingHello[] = [];
  let welcomesLeft = MAX_WELCOMES_PER_TURN;
  let isTurnScheduled = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function checkWaiting(): void {
    timer = undefined;
    for (const [hello, sinceMs] of waiting) {
      if (!answer(hello, sinceMs)) continue;
      waiting.delete(hello);
    }
    metrics.gauge("control.hellos_waiting", waiting.size);
    if (waiting.size > 0) scheduleCheck();
  }

  function scheduleCheck(): void {
    timer ??= setTimeout(checkWaiting, CHECK_INTERVAL_MS);
  }

  function answer(hello: PendingHello, sinceMs: number): boolean {
    if (hello.isClosed()) return true;
    if (options.isLeader()) {
      if (unconfirmed.length === 0) queueMicrotask(admitUnconfirmed);
      unconfirmed.push(hello);
      return true;
    }
    const address = options.getLeaderAddress();
    if (address === "" && now() - sinceMs < MAX_WAIT_MS) return false;
    metrics.count("control.hellos_redirected");
    hello.redirect(address);
    return true;
  }

  async function admitUnconfirmed(): Promise<void> {
    const admitted = unconfirmed;
    unconfirmed = [];
    try {
      await options.confirmRead();
    } catch (error) {
      log("callFailed", { call: "hello", count: admitted.length, error });
      return admitted.forEach(addWaiting);
    }
    ready.push(...admitted);
    welcomeReady();
  }

  function addWaiting(hello: PendingHello): void {
    waiting.set(hello, now());
    scheduleCheck();
  }

  function welcomeReady(): void {
    while (welcomesLeft > 0 && ready.length > 0) welcome(ready.shift());
    if (welcomesLeft === MAX_WELCOMES_PER_TURN || isTurnScheduled) return;
    isTurnScheduled = true;
    setImmediate(beginTurn);
  }

  function beginTurn(): void {
    isTurnScheduled = false;
    welcomesLeft = MAX_WELCOMES_PER_TURN;
    welcomeReady();
  }

  function welcome(hello: PendingHello | undefined): void {
    if (!hello || hello.isClosed()) return;
    // This process lost the leadership while the hello was queued.
    if (!options.isLeader()) return addWaiting(hello);
    welcomesLeft -= 1;
    hello.welcome();
  }

  return {
    enqueue(hello) {
      metrics.count("control.hellos");
      if (!answer(hello, now())) addWaiting(hello);
    },
  };
}
