/**
 * What only the leader does: watches the fleet, changes the quorum's
 * membership, hands out grants.
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

/** Ms between two looks at the leases. */
const TICK_INTERVAL_MS = 100;

/** Ms between two divisions of the client accounts' rates. */
const SHARE_INTERVAL_MS = 1_000;

/** Ms between two rounds of placement and orders. */
const ORDER_INTERVAL_MS = 250;

/** What the duties need of their program. */
export interface StartLeaderDutiesOptions {
  readonly replica: Replica;
  readonly view: FleetView;
  readonly agents: AgentService;
  readonly getResources: () => ResourceState;
  readonly controlVms: readonly string[];
  /** Reads the platform's list; absent where there is none. */
  readonly readPlatformList?: () => Promise<Record<string, PlatformState>>;
  readonly platformPollMs: number;
  readonly orders: OrderDispatcher;
  readonly log: Logger;
}

/**
 * Starts the leader's duties; on a follower they rest.
 *
 * @param options - The replica, the view, the sessions with entries.
 * @returns What ends them.
 * @throws Nothing.
 * @example
 * await using duties = startLeaderDuties(options);
 */
export function startLeaderDuties(
  options: StartLeaderDutiesOptions,
): AsyncDisposable {
  const { replica, view, agents, log } = options;
  let polling = false;
  let changing = false;

  function tick(): void {
    if (!replica.hasLease()) return;
    view.take({ type: "tick" });
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

  function handOutGrants(): void {
    if (!replica.hasLease()) return;
    const state = options.getResources();
    agents.publishGrants(computeEntryGrants(state, view.getState()));
  }

  async function poll(): Promise<void> {
    if (polling || !options.readPlatformList || !replica.hasLease()) return;
    polling = true;
    try {
      const vms = await options.readPlatformList();
      const expected = listResources(options.getResources(), "pool")
        .flatMap((pool) => pool.spec.upstreams.map((upstream) => upstream.vm));
      view.take({ type: "platformList", vms, expected });
    } catch (error) {
      log("platformListFailed", { error });
    }
    polling = false;
  }

  async function placeModels(): Promise<void> {
    // What is not heard of yet counts for nothing: a plan waits for it.
    if (view.isQuiet()) return;
    try {
      await options.orders.run();
    } catch (error) {
      log("internalError", { error });
    }
  }

  const timers = [
    setInterval(tick, TICK_INTERVAL_MS),
    setInterval(handOutGrants, SHARE_INTERVAL_MS),
    setInterval(() => void poll(), options.platformPollMs),
    setInterval(() => void placeModels(), ORDER_INTERVAL_MS),
  ];
  return {
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      timers.forEach(clearInterval);
    },
  };
}
