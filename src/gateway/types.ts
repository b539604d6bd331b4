/**
 * What the parts of a gateway share.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Account, Route, RouteTable } from "../routes/index.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { EndRate } from "./create_end_rate.ts";
import type { FleetRates } from "./create_fleet_rates.ts";
import type { EngineNotices } from "./create_engine_notices.ts";
import type { EndCheck } from "./create_end_check.ts";
import type { Exchanger } from "./create_exchanger.ts";
import type { LeftRuns } from "./create_left_runs.ts";
import type { PauseWatch } from "./create_pause_watch.ts";
import type { Quarantine } from "./create_quarantine.ts";
import type { RateLimits } from "./create_rate_limits.ts";
import type { RepeatBudget } from "./create_repeat_budget.ts";
import type { BackOffThrottle } from "./create_back_off_throttle.ts";
import type { ReturnSchedule } from "./create_return_schedule.ts";
import type { RoomQueue } from "./create_room_queue.ts";
import type { RunWatch } from "./create_run_watch.ts";
import type { StallWatch } from "./create_stall_watch.ts";
import type { UsualTimes } from "./create_usual_times.ts";
import type { CallerCodec, CallerRequest, EngineControl } from "./protocol.ts";

/** A request that is let in, with all that was decided about it. */
export interface Call {
  readonly request: CallerRequest;
  readonly body: Buffer | null;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly account: Account | undefined;
  /** Service that the route's weights gave it. */
  readonly service: string;
  /** The same for all tries of one request, see {@link getRequestKey}. */
  readonly requestKey: string;
  readonly startedMs: number;
  /** Time, in ms, at which it has to have ended. */
  readonly deadlineMs: number;
}

/** What serving a call needs. */
export interface ServingContext {
  readonly place: string;
  readonly codec: CallerCodec;
  readonly engineControl: EngineControl;
  readonly pauses: PauseWatch;
  readonly runWatch: RunWatch;
  readonly stallWatch: StallWatch;
  readonly engines: EngineTable;
  /** What upstreams said of themselves in answers to this gateway. */
  readonly notices: EngineNotices;
  /** Rate limits that upstreams named. */
  readonly rateLimits: RateLimits;
  /** Lets in what upstreams can bear while many are backed off. */
  readonly throttle: BackOffThrottle;
  /** How long answers usually take. */
  readonly usualTimes: UsualTimes;
  readonly exchanger: Exchanger;
  readonly endCheck: EndCheck;
  readonly quarantine: Quarantine;
  readonly leftRuns: LeftRuns;
  readonly budget: RepeatBudget;
  readonly endRate: EndRate;
  readonly rates: FleetRates;
  readonly returns: ReturnSchedule;
  /** Turns of callers that found all upstreams at their rate limits. */
  readonly limitReturns: ReturnSchedule;
  /** New streams of a service that wait for room. */
  readonly getRoomQueue: (service: string) => RoomQueue;
  readonly getTable: () => RouteTable | undefined;
  /** Gateways that take callers, this one included. */
  readonly getGatewayCount: () => number;
  /** Data centres of the gateways that take callers, one for each of them. */
  readonly listGatewayPlaces: () => readonly string[];
  readonly isLeaving: () => boolean;
  /** Time, in ms, that requests have before a planned stop ends them. */
  readonly getGraceLeftMs: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Metrics;
}
