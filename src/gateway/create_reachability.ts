/**
 * Finds out whether this gateway is cut off from the upstreams of a service. Requests
 * fail in the same way where upstreams are down and where only this gateway has lost
 * its path to them; connections to several of them tell the two apart.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ProbeAddress, UpstreamLiveness } from "../http/index.ts";
import {
  type ReachabilityState,
  REACHABLE,
  stepReachability,
} from "../reachability/index.ts";
import type { UpstreamAddress } from "./create_liveness_check.ts";

/** Dependencies of {@link createReachability}. */
export interface CreateReachabilityOptions {
  /** Upstreams of a service at which requests start, most recently heard first. */
  readonly listUpstreams: (service: string) => readonly UpstreamAddress[];
  /** All registered upstreams of a service. */
  readonly listRegistered: (service: string) => readonly UpstreamAddress[];
  /** Services with registered upstreams. */
  readonly listServices: () => readonly string[];
  /** Called when this gateway is cut off from a service, and when it no longer is. */
  readonly onChange: (change: ReachabilityChange) => void;
  readonly probe: ProbeAddress;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count" | "gauge">;
}

/** A change of a service's reachability. */
export interface ReachabilityChange {
  readonly service: string;
  readonly isCutOff: boolean;
  /** When the partition was found out, in ms. */
  readonly sinceMs: number;
}

/** How requests may be sent to a service's upstreams. */
export type SendMode =
  /** Over any connection. */
  | "any"
  /** Only over connections that are open: new ones can't be made. */
  | "openConnections"
  | "none";

/** Reachability of services from this gateway. */
export interface Reachability extends Disposable {
  getSendMode(service: string): SendMode;
  isCutOff(service: string): boolean;
  /** Services from which this gateway is cut off. */
  listCutOff(): readonly string[];
  /** Whether a check is running, or has found that this gateway is cut off. */
  isInDoubt(service: string): boolean;
  /**
   * Checks whether an upstream of the service accepts a connection; resolves to false
   * if none does. A connection that was accepted within the last `maxAgeMs`, 250 by
   * default, answers without a check. So does a recent check by default.
   */
  check(
    service: string,
    options?: { readonly maxAgeMs?: number },
  ): Promise<boolean>;
  /**
   * Whether an upstream other than this one accepts a connection now. Only then does a
   * refused connection show that the upstream itself is down.
   */
  reachesOthers(engineId: string, service: string): Promise<boolean>;
  /**
   * Records that an upstream of the service accepted a connection, which makes a check
   * unnecessary for a moment.
   */
  noteConnected(service: string): void;
  /** Ms for which nothing was received from any upstream of the service. */
  getSilenceMs(service: string): number;
  /** Records that something was received from an upstream of the service. */
  noteReceived(service: string): void;
  /**
   * Calls the listener when this gateway is found to be cut off from the service, until
   * the returned function is called.
   */
  onCutOff(service: string, listener: () => void): () => void;
  /** Checks services that are cut off soon, as their upstreams have changed. */
  handleUpstreamsChanged(): void;
}

interface ServiceState {
  reachability: ReachabilityState;
  check: Promise<boolean> | undefined;
  /** When an upstream last accepted a connection, in ms. */
  acceptedMs: number;
  /** When a check was last successful, in ms. */
  checkedMs: number;
  /** Time, in ms, for which that check is valid. */
  resultTtlMs: number;
  receivedMs: number;
  /** When the next round is due while cut off, in ms. */
  roundDueMs: number;
  timer: ReturnType<typeof setTimeout> | undefined;
}

/** Result of a round, with what the failed attempts showed. */
interface RoundResult {
  readonly reached: number;
  readonly refused: number;
  readonly unanswered: number;
}

/**
 * Age, in ms, up to which an accepted connection shows that upstreams which are all
 * left out could be reached.
 */
export const LEFT_OUT_CHECK_MAX_AGE_MS = 250;

/**
 * Time, in ms, for a connection to be accepted. A round trip takes about 80 ms between
 * regions and 1 to 2 ms within one.
 */
const PROBE_TIMEOUT_MS = 200;

/** Upstreams that are probed at once. */
const FIRST_PROBES = 4;

/** Further upstreams that are probed if none of the first ones has answered. */
const FURTHER_PROBES = 12;

/** Time, in ms, after which the further upstreams are probed. */
const FURTHER_PROBES_DELAY_MS = 50;

/** Time, in ms, for which a successful check is valid at first. */
const RESULT_TTL_MS = 250;

/**
 * Longest such time. It doubles with each successful check: overloaded upstreams make
 * many requests ask, and each check costs them connections.
 */
const MAX_RESULT_TTL_MS = 1_000;

/** Time, in ms, without a check after which the shortest time applies again. */
const RESULT_TTL_RESET_MS = 5_000;

/** Interval, in ms, between rounds while cut off. */
const RECOVERY_INTERVAL_MS = 250;

/** Time, in ms, from a successful round to the one that confirms it. */
const CONFIRMATION_DELAY_MS = 100;

/** Time, in ms, for which received data shows that open connections are alive. */
const RECEIVED_TTL_MS = 300;

/**
 * Upstreams of a service that hardly are down all at once. Where there are fewer, those
 * of other services show whether this gateway has lost its paths.
 */
const MIN_CONCLUSIVE_UPSTREAMS = 4;

/**
 * Creates the reachability of services. It probes only after something has failed, and
 * while it is cut off.
 *
 * @param options - The upstreams, how to probe them, and the clock.
 * @returns The reachability.
 * @throws Nothing.
 * @example
 * if (!await reachability.check(service)) forward(call);
 */
export function createReachability(
  options: CreateReachabilityOptions,
): Reachability {
  const { probe, now, random, log, metrics } = options;
  const services = new Map<string, ServiceState>();
  const listeners = new Map<string, Set<() => void>>();
  let isDisposed = false;

  function getState(service: string): ServiceState {
    const known = services.get(service);
    if (known) return known;
    const created: ServiceState = {
      reachability: REACHABLE,
      check: undefined,
      acceptedMs: -Infinity,
      checkedMs: -Infinity,
      resultTtlMs: RESULT_TTL_MS,
      receivedMs: -Infinity,
      roundDueMs: Infinity,
      timer: undefined,
    };
    services.set(service, created);
    return created;
  }

  function isCutOff(service: string): boolean {
    return services.get(service)?.reachability.type === "cutOff";
  }

  function listCutOff(): string[] {
    return [...services.keys()].filter(isCutOff);
  }

  function check(
    service: string,
    { maxAgeMs }: { readonly maxAgeMs?: number } = {},
  ): Promise<boolean> {
    if (isCutOff(service)) return Promise.resolve(false);
    const state = getState(service);
    if (state.check) return state.check;
    const hasAccepted = now() - state.acceptedMs < (maxAgeMs ?? RESULT_TTL_MS);
    const isChecked = maxAgeMs === undefined &&
      now() - state.checkedMs < state.resultTtlMs;
    if (hasAccepted || isChecked) return Promise.resolve(true);
    state.check = runRound(service).finally(() => {
      state.check = undefined;
    });
    return state.check;
  }

  async function runRound(service: string): Promise<boolean> {
    const result = await probeRound(options.listUpstreams(service));
    if (isDisposed) return true;
    const state = getState(service);
    const before = state.reachability;
    const { reached, refused, unanswered } = result;
    if (reached > 0) noteSuccess(state);
    state.reachability = stepReachability(before, {
      reached,
      unreached: refused + unanswered,
      atMs: now(),
    });
    if (before.type !== state.reachability.type) {
      handleChange(service, { before, result });
    }
    if (isCutOff(service)) scheduleRound(service, reached > 0);
    return !isCutOff(service);
  }

  function noteSuccess(state: ServiceState): void {
    const isFrequent = now() - state.checkedMs < RESULT_TTL_RESET_MS;
    state.resultTtlMs = isFrequent
      ? Math.min(MAX_RESULT_TTL_MS, 2 * state.resultTtlMs)
      : RESULT_TTL_MS;
    state.checkedMs = now();
    state.acceptedMs = now();
  }

  function scheduleRound(service: string, isConfirmation: boolean): void {
    const state = getState(service);
    const delayMs = isConfirmation
      ? CONFIRMATION_DELAY_MS
      : RECOVERY_INTERVAL_MS;
    clearTimeout(state.timer);
    state.roundDueMs = now() + delayMs;
    state.timer = setTimeout(() => void runRound(service), delayMs);
  }

  function handleChange(
    service: string,
    { before, result }: { before: ReachabilityState; result: RoundResult },
  ): void {
    const { reachability } = getState(service);
    metrics.gauge("services.cut_off", listCutOff().length);
    if (reachability.type === "cutOff") {
      metrics.count("services.partitions");
      log("serviceCutOff", { service, ...result });
      options.onChange({
        service,
        isCutOff: true,
        sinceMs: reachability.sinceMs,
      });
      [...listeners.get(service) ?? []].forEach((listener) => listener());
      // A partition from one service often is one from all.
      options.listServices().forEach((other) => void check(other));
    } else if (before.type === "cutOff") {
      const { sinceMs } = before;
      getState(service).resultTtlMs = RESULT_TTL_MS;
      log("serviceReached", { service, cutOffMs: Math.round(now() - sinceMs) });
      options.onChange({ service, isCutOff: false, sinceMs });
    }
  }

  async function probeRound(
    upstreams: readonly UpstreamAddress[],
  ): Promise<RoundResult> {
    const [recent, others] = chooseProbed(upstreams);
    const first = probeAll(recent);
    const aborter = new AbortController();
    const delay = sleep(FURTHER_PROBES_DELAY_MS, undefined, aborter)
      .catch(() => undefined);
    const early = await Promise.race([first, delay]);
    aborter.abort();
    if (early && early.reached > 0 || others.length === 0) return await first;
    const [one, two] = await Promise.all([first, probeAll(others)]);
    return {
      reached: one.reached + two.reached,
      refused: one.refused + two.refused,
      unanswered: one.unanswered + two.unanswered,
    };
  }

  // Half of the first ones were heard most recently: those are the most likely to be
  // up. The others are drawn, since the recent ones may share a failure.
  function chooseProbed(
    upstreams: readonly UpstreamAddress[],
  ): [UpstreamAddress[], UpstreamAddress[]] {
    const recent = upstreams.slice(0, FIRST_PROBES / 2);
    const drawn = upstreams.slice(FIRST_PROBES / 2)
      .map((upstream) => ({ upstream, rank: random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ upstream }) => upstream);
    const first = [...recent, ...drawn.splice(0, FIRST_PROBES - recent.length)];
    return [first, drawn.slice(0, FURTHER_PROBES)];
  }

  // Resolves with the first success, or when all attempts have ended.
  async function probeAll(
    upstreams: readonly UpstreamAddress[],
  ): Promise<RoundResult> {
    metrics.count("upstream.reach_probes", upstreams.length);
    const results: UpstreamLiveness[] = [];
    const probes = upstreams.map(async ({ address }) => {
      const liveness = await probe(address, { timeoutMs: PROBE_TIMEOUT_MS });
      results.push(liveness);
      if (liveness !== "listening") throw new Error(liveness);
    });
    await Promise.any(probes).catch(() => {});
    const countResults = (sought: UpstreamLiveness) =>
      results.filter((liveness) => liveness === sought).length;
    return {
      reached: countResults("listening"),
      refused: countResults("ended"),
      unanswered: countResults("unknown"),
    };
  }

  return {
    isCutOff,
    listCutOff,
    check,
    getSendMode(service) {
      const state = services.get(service);
      if (state?.reachability.type !== "cutOff") return "any";
      const { receivedMs, reachability } = state;
      const isAlive = receivedMs > reachability.sinceMs &&
        now() - receivedMs < RECEIVED_TTL_MS;
      return isAlive ? "openConnections" : "none";
    },
    isInDoubt: (service) =>
      isCutOff(service) || services.get(service)?.check !== undefined,
    async reachesOthers(engineId, service) {
      const others = options.listRegistered(service)
        .filter((one) => one.engineId !== engineId);
      if ((await probeRound(others)).reached > 0) return true;
      if (others.length >= MIN_CONCLUSIVE_UPSTREAMS) return false;
      const elsewhere = options.listServices()
        .filter((other) => other !== service)
        .flatMap(options.listRegistered);
      return (await probeRound(elsewhere)).reached > 0;
    },
    noteConnected(service) {
      getState(service).acceptedMs = now();
    },
    getSilenceMs: (service) => now() - getState(service).receivedMs,
    noteReceived(service) {
      getState(service).receivedMs = now();
    },
    onCutOff(service, listener) {
      const set = listeners.get(service) ?? new Set<() => void>();
      listeners.set(service, set.add(listener));
      return () => void set.delete(listener);
    },
    handleUpstreamsChanged() {
      for (const service of listCutOff()) {
        const { roundDueMs } = getState(service);
        // A round that is due sooner must not be put off by each change.
        const isDueLater = roundDueMs - now() > CONFIRMATION_DELAY_MS;
        if (isDueLater) scheduleRound(service, true);
      }
    },
    [Symbol.dispose]() {
      isDisposed = true;
      for (const { timer } of services.values()) clearTimeout(timer);
    },
  };
}
