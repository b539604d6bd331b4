/**
 * The gateways that earlier leaders recorded and that have not come to this one yet.
 *
 * That a gateway has not been heard of says nothing as long as others still come
 * back: all of them look for the new leader at once, and how long that takes hangs
 * on how busy the leader and they are. So silence counts from the last return.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { GatewayRecord } from "./messages.ts";

/** The gateways that a new leader waits for. */
export interface AwaitedGateways {
  /** Begins to wait for the gateways that earlier leaders recorded. */
  expect(recorded: Iterable<GatewayRecord>): void;
  /** Takes note that a gateway has come. */
  noteBack(vm: string): void;
  /** Gives up those that stay away; called again and again. */
  tick(): void;
  /** Whether earlier leaders recorded any. */
  hasExpected(): boolean;
  /** Gateways that are still waited for. */
  list(): readonly GatewayRecord[];
  /** Waits for none any more: this process no longer leads. */
  reset(): void;
}

/** Options of {@link createAwaitedGateways}. */
export interface CreateAwaitedGatewaysOptions {
  /** Ms for which gateways could be heard. */
  readonly now: () => number;
  readonly log: Logger;
  /** Ms without a return after which those that are away are given up. */
  readonly silenceMs?: number;
  /** Ms after which they are given up although others still come back. */
  readonly maxWaitMs?: number;
}

/**
 * Ms without a return: 1.2 s for a gateway to notice that its leader is gone, 1 s over
 * which 330 of them look for the next one, 1.5 s of silence as in a session.
 */
const RETURN_SILENCE_MS = 4_000;

/** Bound on the wait; gateways that restart again and again must not extend it. */
const MAX_WAIT_MS = 30_000;

/**
 * Makes the list, empty.
 *
 * @param options - The time, logs, how long to wait.
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
  const { silenceMs = RETURN_SILENCE_MS, maxWaitMs = MAX_WAIT_MS } = options;
  const awaited = new Map<string, GatewayRecord>();
  let expected = 0;
  let startedMs = now();
  let returnedMs = now();

  function end(): void {
    log("gatewaysCounted", {
      expected,
      missing: [...awaited.keys()],
      waitedMs: Math.round(now() - startedMs),
    });
    awaited.clear();
  }

  return {
    expect(recorded) {
      for (const gateway of recorded) awaited.set(gateway.vm, gateway);
      expected = awaited.size;
      startedMs = now();
      returnedMs = startedMs;
    },
    noteBack(vm) {
      if (!awaited.delete(vm)) return;
      returnedMs = now();
      if (awaited.size === 0) end();
    },
    tick() {
      if (awaited.size === 0) return;
      const isSilent = now() - returnedMs >= silenceMs;
      if (isSilent || now() - startedMs >= maxWaitMs) end();
    },
    hasExpected: () => expected > 0,
    list: () => [...awaited.values()],
    reset() {
      awaited.clear();
      expected = 0;
    },
  };
}
