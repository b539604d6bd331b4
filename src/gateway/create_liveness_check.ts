/**
 * Checks whether an upstream process has exited or only a connection to it broke.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  type ProbeAddress,
  probeAddress,
  type UpstreamLiveness,
} from "../http/index.ts";

/** An incarnation of an upstream and its address. */
export interface UpstreamAddress {
  readonly engineId: string;
  /** Host and port. */
  readonly address: string;
}

/** Checks whether upstream processes have exited. */
export interface LivenessCheck {
  /** Never rejects; concurrent checks of an upstream share one result. */
  check(upstream: UpstreamAddress): Promise<UpstreamLiveness>;
  /**
   * Whether connections to an upstream are refused, by itself or by a machine in between,
   * also shortly after. Never rejects, and shares the first probe of {@link check}.
   */
  refusesConnections(upstream: UpstreamAddress): Promise<boolean>;
}

/** A probe, and what it means. */
interface RecentCheck {
  readonly atMs: number;
  readonly probed: Promise<UpstreamLiveness>;
  readonly answer: Promise<UpstreamLiveness>;
}

/**
 * Time, in ms, for a connection to be accepted or refused. A round trip takes about
 * 80 ms between regions and 1 to 2 ms within one.
 */
const PROBE_TIMEOUT_MS = 200;

/**
 * Time, in ms, for which a result is shared by streams that broke together. Only the
 * end of an upstream is shared after the probe: one that listened may crash at once.
 */
const RESULT_TTL_MS = 500;

/**
 * Time, in ms, in which a process that is killed closes its listener. It may close its
 * other connections first.
 */
const EXIT_MS = 50;

/**
 * Creates the check.
 *
 * @param options - The clock, and how to probe an address.
 * @returns The check.
 * @throws Nothing.
 * @example
 * const liveness = await livenessCheck.check({ engineId, address });
 */
export function createLivenessCheck(
  options: {
    /** Monotonic time, in ms. */
    readonly now: () => number;
    readonly probe?: ProbeAddress;
    /**
     * Whether other upstreams can be reached now. A machine in between may refuse
     * connections too, so without that a refusal proves nothing; by default they can.
     */
    readonly reachesOthers?: (engineId: string) => Promise<boolean>;
  },
): LivenessCheck {
  const { now, probe = probeAddress } = options;
  const { reachesOthers = () => Promise.resolve(true) } = options;
  const recentChecks = new Map<string, RecentCheck>();

  function evictExpired(): void {
    for (const [engineId, { atMs }] of recentChecks) {
      if (now() - atMs >= RESULT_TTL_MS) recentChecks.delete(engineId);
    }
  }

  async function judge(
    engineId: string,
    probed: Promise<UpstreamLiveness>,
  ): Promise<UpstreamLiveness> {
    const liveness = await probed;
    if (liveness !== "ended") return liveness;
    return await reachesOthers(engineId) ? "ended" : "unknown";
  }

  function getCheck({ engineId, address }: UpstreamAddress): RecentCheck {
    evictExpired();
    const cached = recentChecks.get(engineId);
    if (cached) return cached;
    const probed = probe(address, { timeoutMs: PROBE_TIMEOUT_MS });
    const answer = judge(engineId, probed);
    const check = { atMs: now(), probed, answer };
    recentChecks.set(engineId, check);
    void answer.then((liveness) => {
      if (liveness !== "listening") return;
      if (recentChecks.get(engineId) === check) recentChecks.delete(engineId);
    });
    return check;
  }

  return {
    check: (upstream) => getCheck(upstream).answer,
    async refusesConnections(upstream) {
      const first = await getCheck(upstream).probed;
      if (first !== "listening") return first === "ended";
      await sleep(EXIT_MS);
      const second = await probe(upstream.address, {
        timeoutMs: PROBE_TIMEOUT_MS,
      });
      return second === "ended";
    },
  };
}
