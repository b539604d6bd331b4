/**
 * The entry's view of its upstreams: configuration, load, health and limits.
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
  HEALTHY,
  updateHealth,
  type UpstreamHealth,
  type UpstreamView,
} from "../routing/index.ts";

/** The state of one upstream; only the table changes it. */
interface UpstreamRecord extends UpstreamView {
  spec: UpstreamSpec;
  pool: string;
  health: UpstreamHealth;
  speedPerS: number;
  roundTripMs: number;
  inFlight: number;
  share: number;
  ejectedUntilMs: number;
  backOffUntilMs: number;
  /** Rate limit over all entries, in requests per second; Infinity if unlimited. */
  limitPerS: number;
  /** When the limit was last updated, in ms. */
  limitUpdatedMs: number;
  closed: boolean;
  layers: UpstreamView["layers"];
}

/** Read-only view of an upstream. */
export type KnownUpstream = UpstreamView & {
  readonly spec: UpstreamSpec;
  readonly pool: string;
};

/** The table of upstreams. */
export interface UpstreamTable {
  /** Applies a configuration; upstreams that remain keep their state. */
  applyConfig(state: ResourceState): void;
  /** Applies the platform's state of the VMs. */
  applyLiveState(live: LiveState): void;
  list(pool: string): readonly KnownUpstream[];
  /** Counts a request sent to the upstream as in flight. */
  begin(name: string): void;
  end(name: string): void;
  /** Records a result; returns whether it caused the upstream to be ejected. */
  recordResult(name: string, succeeded: boolean): boolean;
  /** Excludes an upstream from new requests for the back-off that it asked for. */
  setBackOff(name: string, backOffMs: number): void;
  /** Records the rate limit that an upstream announced in an answer. */
  recordLimit(name: string, answer: AnnouncedLimit): void;
  /** Applies this entry's interval on the ring of each pool's capacity. */
  applyIntervals(next: CapacityIntervals): void;
}

/** A rate limit that an upstream announced in its answer to a request. */
export interface AnnouncedLimit {
  /** Requests per second over all entries; Infinity if it announces no limit. */
  readonly limitPerS: number;
  /** When the request was sent, in ms; absent if the answer is a refusal. */
  readonly sentMs?: number;
}

/** Options of {@link createUpstreamTable}. */
export interface CreateUpstreamTableOptions {
  readonly place: string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Round-trip time, in ms, within a place. */
const SAME_PLACE_ROUND_TRIP_MS = 0.5;

/** Round-trip time, in ms, to another place of the region. */
const OTHER_PLACE_ROUND_TRIP_MS = 1.5;

/**
 * Longest interval, in ms, between requests to an upstream with a low or zero rate
 * limit: only an answer can show that the limit was raised or lifted.
 */
const MAX_SEND_INTERVAL_MS = 10_000;

const MS_PER_S = 1_000;

/** Speed, in requests per second, of an upstream that declares none. */
const DEFAULT_SPEED_PER_S = 200;

/**
 * Creates the table of upstreams.
 *
 * @param options - The entry's place and a clock.
 * @returns The table; empty until a configuration is applied.
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

  function applyConfig(state: ResourceState): void {
    byPool = new Map();
    const configured = new Set<string>();
    const placedLayers = findPlacedLayers(state);
    for (const pool of listResources(state, "pool")) {
      const list = pool.spec.upstreams.map((spec) => {
        configured.add(spec.name);
        return updateRecord(spec, {
          pool,
          layers: placedLayers.get(spec.name),
        });
      });
      byPool.set(pool.name, list);
      assignShares(list, pool.name);
    }
    for (const name of records.keys()) {
      if (!configured.has(name)) records.delete(name);
    }
  }

  // Each group of interchangeable upstreams (same layers) has its own capacity ring.
  function assignShares(list: readonly UpstreamRecord[], pool: string): void {
    const interval = intervals[pool];
    for (const group of groupByLayers(list)) {
      const shares = interval
        ? computeIntervalShares(group, interval)
        : group.map(() => 1);
      group.forEach((record, at) => record.share = shares[at]);
    }
  }

  function updateRecord(
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
      ? SAME_PLACE_ROUND_TRIP_MS
      : OTHER_PLACE_ROUND_TRIP_MS;
    record.closed = isClosed(spec);
    return record;
  }

  function makeRecord(spec: UpstreamSpec, pool: string): UpstreamRecord {
    const nowMs = now();
    // Upstreams of the first configuration don't count as new: all start alike.
    const knownSinceMs =
      records.size === 0 || nowMs - startedMs < STARTUP_WINDOW_MS
        ? -Infinity
        : nowMs;
    return {
      name: spec.name,
      spec,
      pool,
      health: HEALTHY,
      speedPerS: DEFAULT_SPEED_PER_S,
      roundTripMs: SAME_PLACE_ROUND_TRIP_MS,
      inFlight: 0,
      share: 1,
      knownSinceMs,
      ejectedUntilMs: 0,
      backOffUntilMs: 0,
      limitPerS: Infinity,
      limitUpdatedMs: -Infinity,
      closed: false,
      layers: spec.layers,
    };
  }

  // Spaces requests so that the entry stays within its share of the upstream's limit;
  // the shares of all entries add up to the whole limit.
  function delayNextSend(record: UpstreamRecord): void {
    const ratePerS = record.limitPerS * record.share;
    const intervalMs = Math.min(MAX_SEND_INTERVAL_MS, MS_PER_S / ratePerS);
    record.backOffUntilMs = Math.max(record.backOffUntilMs, now() + intervalMs);
  }

  function isClosed(spec: UpstreamSpec): boolean {
    return spec.drain === true || (vms[spec.vm] ?? "live") !== "live";
  }

  return {
    applyConfig,
    applyLiveState(live) {
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
      if (record.limitPerS < Infinity) delayNextSend(record);
    },
    end(name) {
      const record = records.get(name);
      if (record) record.inFlight = Math.max(0, record.inFlight - 1);
    },
    recordResult(name, succeeded) {
      const record = records.get(name);
      if (!record) return false;
      const before = record.health.ejections;
      record.health = updateHealth(record.health, succeeded, { nowMs: now() });
      record.ejectedUntilMs = record.health.ejectedUntilMs;
      return record.health.ejections > before;
    },
    setBackOff(name, backOffMs) {
      const record = records.get(name);
      if (!record) return;
      record.backOffUntilMs = Math.max(
        record.backOffUntilMs,
        now() + backOffMs,
      );
    },
    recordLimit(name, { limitPerS, sentMs = -Infinity }) {
      const record = records.get(name);
      if (!record || limitPerS === record.limitPerS) return;
      // Only an answer to a request sent after the last update may raise the limit:
      // others may be outdated, and a refusal may come from a proxy before the upstream.
      const isLower = limitPerS < record.limitPerS;
      if (!isLower && sentMs <= record.limitUpdatedMs) return;
      record.limitPerS = limitPerS;
      record.limitUpdatedMs = now();
      if (isLower) delayNextSend(record);
    },
    applyIntervals(next) {
      if (next === intervals) return;
      intervals = next;
      byPool.forEach(assignShares);
    },
  };
}

/** Time, in ms, after the start in which added upstreams don't count as new. */
const STARTUP_WINDOW_MS = 5_000;

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
