/**
 * What this entry knows of the upstreams, kept up by its own calls.
 *
 * @module
 */

import type {
  LiveState,
  PlacementSpec,
  Resource,
  UpstreamSpec,
} from "../model/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";
import {
  type CapacityIntervals,
  computeIntervalShares,
  type Health,
  SOUND,
  updateHealth,
  type UpstreamView,
} from "../routing/index.ts";

/** One upstream; changed in place by the table alone. */
interface UpstreamRecord extends UpstreamView {
  spec: UpstreamSpec;
  pool: string;
  health: Health;
  speedPerS: number;
  roundTripMs: number;
  inFlight: number;
  share: number;
  ejectedUntilMs: number;
  backOffUntilMs: number;
  /** Requests a second that it takes from all entries; Infinity if unlimited. */
  limitPerS: number;
  /** Since when that is known, in ms. */
  limitKnownMs: number;
  closed: boolean;
  layers: UpstreamView["layers"];
}

/** An upstream as others see it. */
export type KnownUpstream = UpstreamView & {
  readonly spec: UpstreamSpec;
  readonly pool: string;
};

/** The table of upstreams. */
export interface UpstreamTable {
  /** Takes over a configuration; what is known of its upstreams stays. */
  takeConfig(state: ResourceState): void;
  /** Takes over what the platform says of VMs. */
  takeLive(live: LiveState): void;
  list(pool: string): readonly KnownUpstream[];
  /** Counts a request that is sent there. */
  begin(name: string): void;
  end(name: string): void;
  /** Takes a result; returns whether the upstream is left out from now. */
  takeResult(name: string, succeeded: boolean): boolean;
  /** Takes it that an upstream wants no new work for a while. */
  takeBackOff(name: string, backOffMs: number): void;
  /** Takes what an upstream names in its answer to a request. */
  takeLimit(name: string, answer: NamedLimit): void;
  /** Takes this entry's place on the ring of each pool's capacity. */
  takeIntervals(next: CapacityIntervals): void;
}

/** A rate limit that an upstream named in its answer to a request. */
export interface NamedLimit {
  /** Requests a second from all entries together; Infinity where it names none. */
  readonly limitPerS: number;
  /** When the request was sent, in ms; absent where the answer is a refusal. */
  readonly sentMs?: number;
}

/** Options of {@link createUpstreamTable}. */
export interface CreateUpstreamTableOptions {
  readonly place: string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Time, in ms, there and back within a place. */
const NEAR_ROUND_TRIP_MS = 0.5;

/** Time, in ms, there and back to another place of the region. */
const FAR_ROUND_TRIP_MS = 1.5;

/**
 * Time, in ms, between two requests to an upstream that takes few or none, at most:
 * only an answer tells the end of its limit.
 */
const MAX_INTERVAL_MS = 10_000;

const MS_PER_S = 1_000;

/** Requests a second of an upstream of which no speed is declared. */
const DEFAULT_SPEED_PER_S = 200;

/**
 * Makes the table of upstreams.
 *
 * @param options - The entry's place and the time.
 * @returns The table, empty until a configuration is taken.
 * @throws Nothing.
 * @example
 * const table = createUpstreamTable({ place: "bkk-1", now });
 */
export function createUpstreamTable(
  options: CreateUpstreamTableOptions,
): UpstreamTable {
  const { place, now } = options;
  const records = new Map<string, UpstreamRecord>();
  let byPool = new Map<string, UpstreamRecord[]>();
  let vms: LiveState["vms"] = {};
  let intervals: CapacityIntervals = {};
  const startedMs = now();

  function takeConfig(state: ResourceState): void {
    byPool = new Map();
    const named = new Set<string>();
    const placed = findPlacedLayers(state);
    for (const pool of listResources(state, "pool")) {
      const list = pool.spec.upstreams.map((spec) => {
        named.add(spec.name);
        return takeSpec(spec, { pool, layers: placed.get(spec.name) });
      });
      byPool.set(pool.name, list);
      shareOut(list, pool.name);
    }
    for (const name of records.keys()) {
      if (!named.has(name)) records.delete(name);
    }
  }

  // Each group of upstreams that can stand for each other is a ring of its own.
  function shareOut(list: readonly UpstreamRecord[], pool: string): void {
    const interval = intervals[pool];
    for (const group of groupByLayers(list)) {
      const shares = interval
        ? computeIntervalShares(group, interval)
        : group.map(() => 1);
      group.forEach((record, at) => record.share = shares[at]);
    }
  }

  function takeSpec(
    spec: UpstreamSpec,
    from: { pool: Resource<"pool">; layers: UpstreamView["layers"] },
  ): UpstreamRecord {
    const record = records.get(spec.name) ?? makeRecord(spec, from.pool.name);
    records.set(spec.name, record);
    record.spec = spec;
    record.pool = from.pool.name;
    record.layers = from.layers ?? spec.layers;
    record.speedPerS = getSpeedPerS(spec, record.layers);
    record.roundTripMs = spec.place === place
      ? NEAR_ROUND_TRIP_MS
      : FAR_ROUND_TRIP_MS;
    record.closed = isClosed(spec);
    return record;
  }

  function makeRecord(spec: UpstreamSpec, pool: string): UpstreamRecord {
    const nowMs = now();
    // Those of the first configuration are no newcomers: all start alike.
    const knownSinceMs = records.size === 0 || nowMs - startedMs < FIRST_MS
      ? -Infinity
      : nowMs;
    return {
      name: spec.name,
      spec,
      pool,
      health: SOUND,
      speedPerS: DEFAULT_SPEED_PER_S,
      roundTripMs: NEAR_ROUND_TRIP_MS,
      inFlight: 0,
      share: 1,
      knownSinceMs,
      ejectedUntilMs: 0,
      backOffUntilMs: 0,
      limitPerS: Infinity,
      limitKnownMs: -Infinity,
      closed: false,
      layers: spec.layers,
    };
  }

  // An entry keeps to its share of the upstream, one request at a time: the shares of
  // all entries add up to the whole limit.
  function paceSends(record: UpstreamRecord): void {
    const ratePerS = record.limitPerS * record.share;
    const intervalMs = Math.min(MAX_INTERVAL_MS, MS_PER_S / ratePerS);
    record.backOffUntilMs = Math.max(record.backOffUntilMs, now() + intervalMs);
  }

  function isClosed(spec: UpstreamSpec): boolean {
    return spec.drain === true || (vms[spec.vm] ?? "live") !== "live";
  }

  return {
    takeConfig,
    takeLive(live) {
      vms = live.vms;
      for (const record of records.values()) {
        record.closed = isClosed(record.spec);
      }
    },
    list: (pool) => byPool.get(pool) ?? [],
    begin(name) {
      const record = records.get(name);
      if (!record) return;
      record.inFlight += 1;
      if (record.limitPerS < Infinity) paceSends(record);
    },
    end(name) {
      const record = records.get(name);
      if (record) record.inFlight = Math.max(0, record.inFlight - 1);
    },
    takeResult(name, succeeded) {
      const record = records.get(name);
      if (!record) return false;
      const before = record.health.ejections;
      record.health = updateHealth(record.health, succeeded, { nowMs: now() });
      record.ejectedUntilMs = record.health.ejectedUntilMs;
      return record.health.ejections > before;
    },
    takeBackOff(name, backOffMs) {
      const record = records.get(name);
      if (!record) return;
      record.backOffUntilMs = Math.max(
        record.backOffUntilMs,
        now() + backOffMs,
      );
    },
    takeLimit(name, { limitPerS, sentMs = -Infinity }) {
      const record = records.get(name);
      if (!record || limitPerS === record.limitPerS) return;
      // An answer to an earlier request may be older than the limit, and a refusal may
      // come from what stands before the upstream.
      const isLower = limitPerS < record.limitPerS;
      if (!isLower && sentMs <= record.limitKnownMs) return;
      record.limitPerS = limitPerS;
      record.limitKnownMs = now();
      if (isLower) paceSends(record);
    },
    takeIntervals(next) {
      if (next === intervals) return;
      intervals = next;
      byPool.forEach(shareOut);
    },
  };
}

/** Ms after the start within which upstreams are not newcomers. */
const FIRST_MS = 5_000;

function groupByLayers(
  list: readonly UpstreamRecord[],
): readonly UpstreamRecord[][] {
  const groups = new Map<string, UpstreamRecord[]>();
  const ordered = [...list].sort((a, b) => a.name < b.name ? -1 : 1);
  for (const record of ordered) {
    const key = `${record.layers?.start}-${record.layers?.end}`;
    groups.set(key, [...groups.get(key) ?? [], record]);
  }
  return [...groups.values()];
}

function getSpeedPerS(
  spec: UpstreamSpec,
  layers: UpstreamView["layers"],
): number {
  if (spec.layersPerS === undefined) return DEFAULT_SPEED_PER_S;
  const count = layers ? layers.end - layers.start : 1;
  return spec.layersPerS / count;
}

function findPlacedLayers(
  state: ResourceState,
): Map<string, PlacementSpec["assignments"][number]["layers"]> {
  const ready = listResources(state, "placement")
    .flatMap((placement) => placement.spec.assignments)
    .filter((assignment) => assignment.ready);
  return new Map(ready.map(({ upstream, layers }) => [upstream, layers]));
}
