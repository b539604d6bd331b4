/**
 * Gateways that earlier leaders recorded and that have not connected to this one yet.
 *
 * After a leader change all gateways look for the new leader at once, and how long
 * that takes depends on the load of the leader and the gateways. A missing gateway is
 * therefore not considered failed while others still reconnect: the time-out restarts
 * with each one that returns.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { GatewayRecord } from "./messages.ts";

/** The recorded gateways that a new leader waits for. */
export interface AwaitedGateways {
  /** Starts to wait for the gateways that earlier leaders recorded. */
  beginWait(recorded: Iterable<GatewayRecord>): void;
  /** Notes that a gateway has connected. */
  noteReturned(vm: string): void;
  /** Gives up missing gateways once the wait is over; call it periodically. */
  tick(): void;
  /** Whether earlier leaders had recorded any gateways. */
  hasRecorded(): boolean;
  /** Lists the gateways that are still awaited. */
  list(): readonly GatewayRecord[];
  /** Stops waiting, as this process no longer leads. */
  reset(): void;
}

/** Options of {@link createAwaitedGateways}. */
export interface CreateAwaitedGatewaysOptions {
  /** Monotonic time, in ms, that advances only while gateways can reach this process. */
  readonly now: () => number;
  readonly log: Logger;
  /** Ms after the last return, or the start, at which missing gateways are given up. */
  readonly returnTimeoutMs?: number;
  /** Ms after the start at which they are given up although others still return. */
  readonly maxWaitMs?: number;
}

/**
 * Covers 1.2 s for a gateway to notice that its leader has failed, 1 s over which 330
 * gateways search for the next one, and 1.5 s, the time-out of a session.
 */
const RETURN_TIMEOUT_MS = 4_000;

/** Upper bound on the wait; gateways that keep restarting must not extend it. */
const MAX_WAIT_MS = 30_000;

/**
 * Creates an empty list.
 *
 * @param options - Clock, logger and time-outs.
 * @returns The list.
 * @throws Nothing.
 * @example
 * const awaited = createAwaitedGateways({ now, log });
 * awaited.expect(machine.getGateways().values());
 */
export function createAwaitedGateways(
  options: CreateAwaitedGatewaysOptions,
): AwaitedGateways {
  const { now, log } = options;
  const { returnTimeoutMs = RETURN_TIMEOUT_MS, maxWaitMs = MAX_WAIT_MS } =
    options;
  const awaited = new Map<string, GatewayRecord>();
  let expected = 0;
  let startedMs = now();
  let returnedMs = now();

  function finish(): void {
    log("gatewaysCounted", {
      expected,
      missing: [...awaited.keys()],
      waitedMs: Math.round(now() - startedMs),
    });
    awaited.clear();
  }

  return {
    beginWait(recorded) {
      for (const gateway of recorded) awaited.set(gateway.vm, gateway);
      expected = awaited.size;
      startedMs = now();
      returnedMs = startedMs;
    },
    noteReturned(vm) {
      if (!awaited.delete(vm)) return;
      returnedMs = now();
      if (awaited.size === 0) finish();
    },
    tick() {
      if (awaited.size === 0) return;
      const isTimedOut = now() - returnedMs >= returnTimeoutMs;
      if (isTimedOut || now() - startedMs >= maxWaitMs) finish();
    },
    hasRecorded: () => expected > 0,
    list: () => [...awaited.values()],
    reset() {
      awaited.clear();
      expected = 0;
    },
  };
}
