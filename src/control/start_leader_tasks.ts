/**
 * Runs the leader's periodic tasks: checks the entries' leases, changes the
 * quorum's membership, publishes grants, polls the platform, and places models.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { PlatformState } from "../model/index.ts";
import { planMembersChange } from "../quorum/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";
import { computeEntryGrants } from "./compute_entry_grants.ts";
import type { AgentService } from "./create_agent_service.ts";
import type { FleetView } from "./create_fleet_view.ts";
import type { OrderDispatcher } from "./create_order_dispatcher.ts";
import type { Replica } from "./create_replica.ts";

/** Interval at which leases and members are checked, in ms. */
const TICK_INTERVAL_MS = 100;

/** Interval at which the grants are recomputed, in ms. */
const GRANT_INTERVAL_MS = 1_000;

/** Interval of placement and orders, in ms. */
const ORDER_INTERVAL_MS = 250;

/** Options of {@link startLeaderTasks}. */
export interface StartLeaderTasksOptions {
  readonly replica: Replica;
  readonly view: FleetView;
  readonly agents: AgentService;
  readonly getResources: () => ResourceState;
  readonly controlVms: readonly string[];
  /** Reads the platform's VM list; absent if there is no platform. */
  readonly readPlatformList?: () => Promise<Record<string, PlatformState>>;
  readonly platformPollMs: number;
  readonly orders: OrderDispatcher;
  readonly log: Logger;
}

/**
 * Starts the leader's periodic tasks, which do nothing on other replicas.
 *
 * @param options - The replica, the fleet view, and the sessions with entries.
 * @returns A disposable that stops the tasks.
 * @throws Nothing.
 * @example
 * await using leaderTasks = startLeaderTasks(options);
 */
export function startLeaderTasks(
  options: StartLeaderTasksOptions,
): AsyncDisposable {
  const { replica, view, agents, log } = options;
  let polling = false;
  let changing = false;

  function tick(): void {
    if (!replica.hasLease()) return;
    view.handleEvent({ type: "tick" });
    void changeMembers();
  }

  async function changeMembers(): Promise<void> {
    if (changing) return;
    const { controlVms } = options;
    const members = planMembersChange(replica.getState(), { controlVms });
    if (!members) return;
    changing = true;
    log("membersChanged", {
      members: members.map(({ id, role }) => `${id}:${role}`),
    });
    await replica.changeMembers(members).catch(() => {});
    changing = false;
  }

  function publishGrants(): void {
    if (!replica.hasLease()) return;
    const state = options.getResources();
    agents.publishGrants(computeEntryGrants(state, view.getState()));
  }

  async function pollPlatform(): Promise<void> {
    if (polling || !options.readPlatformList || !replica.hasLease()) return;
    polling = true;
    try {
      const vms = await options.readPlatformList();
      const expected = listResources(options.getResources(), "pool")
        .flatMap((pool) => pool.spec.upstreams.map((upstream) => upstream.vm));
      view.handleEvent({ type: "platformList", vms, expected });
    } catch (error) {
      log("platformListFailed", { error });
    }
    polling = false;
  }

  async function placeModels(): Promise<void> {
    // The view is incomplete during the warm-up, so placement waits until it ends.
    if (view.isWarmingUp()) return;
    try {
      await options.orders.run();
    } catch (error) {
      log("internalError", { error });
    }
  }

  const timers = [
    setInterval(tick, TICK_INTERVAL_MS),
    setInterval(publishGrants, GRANT_INTERVAL_MS),
    setInterval(() => void pollPlatform(), options.platformPollMs),
    setInterval(() => void placeModels(), ORDER_INTERVAL_MS),
  ];
  return {
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      timers.forEach(clearInterval);
    },
  };
}
