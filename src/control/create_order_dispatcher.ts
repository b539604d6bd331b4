/**
 * Plans the placement of models and sends the resulting orders to engines. Runs
 * only on the leader.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { PlacementSpec, Resource, UpstreamSpec } from "../model/index.ts";
import { planModelPlacement } from "../placement/index.ts";
import {
  getResourceKey,
  listResources,
  type ResourceState,
} from "../resources/index.ts";
import { sendOrder, type UpstreamClient } from "../upstreams/index.ts";
import type { FleetView } from "./create_fleet_view.ts";
import type { Replica } from "./create_replica.ts";
import type { Command } from "./state_machine.ts";

/** Time limit for the response to an order, in ms. */
export const ORDER_TIMEOUT_MS = 500;

/** Options of {@link createOrderDispatcher}. */
export interface CreateOrderDispatcherOptions {
  readonly replica: Replica;
  readonly view: FleetView;
  readonly getResources: () => ResourceState;
  readonly propose: (command: Command) => Promise<unknown>;
  readonly client: UpstreamClient;
  /** Monotonic time, in ms, at which this replica became leader. */
  readonly getLeadingSinceMs: () => number;
  /** Maximum duration of a leader's lease, in ms. */
  readonly leaseMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Plans placements and sends orders. */
export interface OrderDispatcher {
  /** Runs one round of placement and orders; the leader calls it periodically. */
  run(): Promise<void>;
}

type Assignment = PlacementSpec["assignments"][number];

/**
 * Creates the dispatcher.
 *
 * An order is sent only after its placement has been committed, and only while
 * this replica holds the leader lease. It carries a fencing token of term and
 * sequence, and an engine that supports fencing rejects an older one. For other
 * engines, a new leader waits until the previous leader's lease and the time
 * limit of its last order have expired.
 *
 * @param options - The replica, the fleet view, and the client for upstreams.
 * @returns The dispatcher.
 * @throws Nothing.
 * @example
 * const orders = createOrderDispatcher(options);
 */
export function createOrderDispatcher(
  options: CreateOrderDispatcherOptions,
): OrderDispatcher {
  const { replica, view, getResources, client, metrics, now } = options;
  let running = false;

  async function run(): Promise<void> {
    if (running || !replica.hasLease()) return;
    running = true;
    try {
      for (const model of listResources(getResources(), "model")) {
        await dispatchModel(model);
      }
    } finally {
      running = false;
    }
  }

  async function dispatchModel(model: Resource<"model">): Promise<void> {
    const upstreams = listOrderable(getResources(), model.name).filter(isLive);
    if (upstreams.length === 0) return;
    const placement = findPlacement(model.name);
    const next = planModelPlacement({
      model: model.spec,
      upstreams,
      placement: placement?.spec,
      fence: {
        term: replica.getState().term,
        sequence: findNextSequence(placement?.spec),
      },
    });
    if (next && !await commitPlacement(model.name, next)) return;
    await submitOrders(model, upstreams);
  }

  function isLive(upstream: UpstreamSpec): boolean {
    return !upstream.drain && view.getPlatformState(upstream.vm) === "live";
  }

  function findPlacement(model: string): Resource<"placement"> | undefined {
    const key = getResourceKey("placement", model);
    return getResources().resources.get(key) as
      | Resource<"placement">
      | undefined;
  }

  async function commitPlacement(
    model: string,
    spec: PlacementSpec,
  ): Promise<boolean> {
    const expectedRevision = findPlacement(model)?.revision ?? 0;
    try {
      const result = await options.propose({
        type: "change",
        changeId: randomUUID(),
        operator: "control",
        action: "put",
        kind: "placement",
        name: model,
        spec,
        expectedRevision,
      });
      return (result as { accepted: boolean }).accepted;
    } catch {
      return false;
    }
  }

  async function submitOrders(
    model: Resource<"model">,
    upstreams: readonly UpstreamSpec[],
  ): Promise<void> {
    const pending = findPlacement(model.name)?.spec.assignments
      .filter((one) => !one.ready) ?? [];
    const done: Assignment[] = [];
    await Promise.all(pending.map(async (assignment) => {
      const spec = upstreams.find(({ name }) => name === assignment.upstream);
      if (!spec || !canOrder(spec)) return;
      if (await submitOrder(model, { assignment, spec })) done.push(assignment);
    }));
    if (done.length > 0) await markReady(model.name, done);
  }

  function canOrder(spec: UpstreamSpec): boolean {
    if (!replica.hasLease()) return false;
    if (spec.capabilities?.includes("fence")) return true;
    const waitMs = options.leaseMs + ORDER_TIMEOUT_MS;
    return now() - options.getLeadingSinceMs() > waitMs;
  }

  async function submitOrder(
    model: Resource<"model">,
    target: { assignment: Assignment; spec: UpstreamSpec },
  ): Promise<boolean> {
    const { assignment, spec } = target;
    metrics.count("control.orders");
    const answer = await sendOrder(client, {
      address: spec.address,
      fence: {
        term: assignment.orderTerm,
        sequence: assignment.orderSequence,
      },
      model: model.name,
      version: model.spec.version ?? "",
      layers: assignment.layers,
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    return answer === "ready";
  }

  async function markReady(
    model: string,
    done: readonly Assignment[],
  ): Promise<void> {
    const placement = findPlacement(model);
    if (!placement) return;
    const assignments = placement.spec.assignments.map((one) =>
      done.some((ready) => isSameOrder(ready, one))
        ? { ...one, ready: true }
        : one
    );
    await commitPlacement(model, { assignments });
  }

  return { run };
}

function isSameOrder(a: Assignment, b: Assignment): boolean {
  return a.upstream === b.upstream && a.orderTerm === b.orderTerm &&
    a.orderSequence === b.orderSequence;
}

function findNextSequence(placement: PlacementSpec | undefined): number {
  const sequences = placement?.assignments.map((one) => one.orderSequence) ??
    [];
  return Math.max(0, ...sequences) + 1;
}

function listOrderable(state: ResourceState, model: string): UpstreamSpec[] {
  const pools = new Set(
    listResources(state, "service")
      .filter(({ spec }) => spec.model === model)
      .map(({ spec }) => spec.pool),
  );
  return [...pools].flatMap((name) => {
    const key = getResourceKey("pool", name);
    const pool = state.resources.get(key) as Resource<"pool"> | undefined;
    return pool?.spec.upstreams ?? [];
  }).filter((upstream) => upstream.capabilities?.includes("load-layers"));
}
