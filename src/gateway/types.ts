/**
 * Types shared by the modules of a gateway.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type {
  AdmissionTally,
  LinkBudget,
  ReturnLog,
  UrgentShortage,
} from "../admission/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Account, Route, RouteTable } from "../routes/index.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { StreamEndRate } from "./create_stream_end_rate.ts";
import type { FleetRates } from "./create_fleet_rates.ts";
import type { EngineNotices } from "./create_engine_notices.ts";
import type { HeldBytes } from "./create_held_bytes.ts";
import type { LeftOutChecks } from "./create_left_out_checks.ts";
import type { LivenessCheck } from "./create_liveness_check.ts";
import type { UpstreamTransport } from "./create_upstream_transport.ts";
import type { AbandonedRuns } from "./create_abandoned_runs.ts";
import type { PeerList } from "./create_peer_list.ts";
import type { Reachability } from "./create_reachability.ts";
import type { PauseTracker } from "./create_pause_tracker.ts";
import type { Quarantine } from "./create_quarantine.ts";
import type { RateLimits } from "./create_rate_limits.ts";
import type { GatewayRetryBudget } from "./create_gateway_retry_budget.ts";
import type { BackOffThrottle } from "./create_back_off_throttle.ts";
import type { RetryAfterSchedule } from "./create_retry_after_schedule.ts";
import type { CapacityQueue } from "./create_capacity_queue.ts";
import type { ResumeQueue } from "./create_resume_queue.ts";
import type { UrgentCapacity } from "./create_urgent_capacity.ts";
import type { RunMonitor } from "./create_run_monitor.ts";
import type { SuspectedEnds } from "./create_suspected_ends.ts";
import type { StallReports } from "./create_stall_reports.ts";
import type { ResponseTimes } from "./create_response_times.ts";
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
  /** Number of the service's distinct priorities that are more urgent. */
  readonly rank: number;
  /** Number of the service's distinct priorities; ranks apply from two on. */
  readonly rankCount: number;
  /** The same for all attempts of one request, see {@link getRequestKey}. */
  readonly requestKey: string;
  /** Keys of the parts of its prompt that other requests may share. */
  readonly partKeys: readonly string[];
  readonly startedMs: number;
  /** Time, in ms, by which it has to have ended. */
  readonly deadlineMs: number;
}

/** Everything that is needed to serve a call. */
export interface ServingContext {
  readonly vm: string;
  readonly place: string;
  readonly codec: CallerCodec;
  readonly engineControl: EngineControl;
  readonly pauseTracker: PauseTracker;
  readonly runMonitor: RunMonitor;
  readonly stallReports: StallReports;
  readonly engines: EngineTable;
  /** Recent new streams of each rank of a service. */
  readonly rankTally: AdmissionTally;
  /** Ranks that recently found no capacity. */
  readonly urgentShortage: UrgentShortage;
  /** This gateway's part of the link between data centres. */
  readonly linkBudget: LinkBudget;
  /** State that upstreams reported in responses to this gateway. */
  readonly notices: EngineNotices;
  /** Rate limits that upstreams reported. */
  readonly rateLimits: RateLimits;
  /** Limits admission to the capacity left while many upstreams are backed off. */
  readonly throttle: BackOffThrottle;
  /** Typical response times. */
  readonly responseTimes: ResponseTimes;
  readonly upstreamTransport: UpstreamTransport;
  /** Connections to other gateways. */
  readonly peerTransport: Pick<UpstreamTransport, "start">;
  /** Bytes of answers that are held until they are complete. */
  readonly heldBytes: HeldBytes;
  /** Gateways to which calls are passed on while this one is cut off from a service. */
  readonly peers: PeerList;
  readonly reachability: Reachability;
  readonly livenessCheck: LivenessCheck;
  readonly leftOutChecks: LeftOutChecks;
  readonly quarantine: Quarantine;
  readonly suspectedEnds: SuspectedEnds;
  readonly abandonedRuns: AbandonedRuns;
  readonly budget: GatewayRetryBudget;
  readonly endRate: StreamEndRate;
  readonly rates: FleetRates;
  readonly retryAfterSchedule: RetryAfterSchedule;
  /** Retry times of callers that found all upstreams at their rate limits. */
  readonly limitRetryAfterSchedule: RetryAfterSchedule;
  /** Queue of new streams of a service that wait for capacity. */
  readonly getCapacityQueue: (service: string) => CapacityQueue;
  /** Streams of a service that have run and look for a new path. */
  readonly getResumeQueue: (service: string) => ResumeQueue;
  /** Requests that were refused recently for lack of capacity. */
  readonly returnLog: ReturnLog;
  /** Whether capacity is left for the most urgent requests. */
  readonly urgentCapacity: UrgentCapacity;
  readonly getTable: () => RouteTable | undefined;
  /** Number of ready gateways, including this one. */
  readonly getGatewayCount: () => number;
  /** Data centre of each ready gateway; one entry per gateway. */
  readonly listGatewayPlaces: () => readonly string[];
  readonly isLeaving: () => boolean;
  /** Time, in ms, until a planned stop ends requests in flight. */
  readonly getGraceLeftMs: () => number;
  /** Ms for which an upstream that has announced its leave goes on serving. */
  readonly upstreamDrainMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Metrics;
}
