/**
 * Types shared by the modules of a gateway.
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

/** An admitted request, with the decisions made about it. */
export interface Call {
  readonly request: CallerRequest;
  readonly body: Buffer | null;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly account: Account | undefined;
  /** Service chosen by the route's weights. */
  readonly service: string;
  /** The same for all attempts of one request, see {@link getRequestKey}. */
  readonly requestKey: string;
  readonly startedMs: number;
  /** Time, in ms, by which it has to have ended. */
  readonly deadlineMs: number;
}

/** Everything that is needed to serve a call. */
export interface ServingContext {
  readonly place: string;
  readonly codec: CallerCodec;
  readonly engineControl: EngineControl;
  readonly pauses: PauseWatch;
  readonly runWatch: RunWatch;
  readonly stallWatch: StallWatch;
  readonly engines: EngineTable;
  /** State that upstreams reported in responses to this gateway. */
  readonly notices: EngineNotices;
  /** Rate limits that upstreams reported. */
  readonly rateLimits: RateLimits;
  /** Limits admission to the capacity left while many upstreams are backed off. */
  readonly throttle: BackOffThrottle;
  /** Typical response times. */
  readonly usualTimes: UsualTimes;
  readonly exchanger: Exchanger;
  readonly endCheck: EndCheck;
  readonly quarantine: Quarantine;
  readonly leftRuns: LeftRuns;
  readonly budget: RepeatBudget;
  readonly endRate: EndRate;
  readonly rates: FleetRates;
  readonly returns: ReturnSchedule;
  /** Retry times of callers that found all upstreams at their rate limits. */
  readonly limitReturns: ReturnSchedule;
  /** Queue of new streams of a service that wait for capacity. */
  readonly getRoomQueue: (service: string) => RoomQueue;
  readonly getTable: () => RouteTable | undefined;
  /** Number of ready gateways, including this one. */
  readonly getGatewayCount: () => number;
  /** Data centre of each ready gateway; one entry per gateway. */
  readonly listGatewayPlaces: () => readonly string[];
  readonly isLeaving: () => boolean;
  /** Time, in ms, until a planned stop ends requests in flight. */
  readonly getGraceLeftMs: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Metrics;
}
