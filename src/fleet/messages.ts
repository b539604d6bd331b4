/**
 * The messages between gateways and control processes.
 *
 * @module
 */

import type { EngineHeartbeat, EngineRecord } from "../engines/index.ts";
import type { CrashReport } from "../quarantine/index.ts";
import type { ConfigChange, RouteConfig } from "../routes/index.ts";

/** Decodes a configuration document of an operator; throws if it is malformed. */
export type DecodeConfig = (document: string) => RouteConfig;

/** What callers and other gateways need to know about a gateway. */
export interface GatewayRecord {
  readonly vm: string;
  readonly place: string;
  /** Host and port where it accepts callers. */
  readonly address: string;
  /** Whether callers may be routed to it. */
  readonly isReady: boolean;
  /** Services whose upstreams it can't reach; absent if none. */
  readonly cutOffServices?: readonly string[];
}

/**
 * Load in flight by upstream: tokens being processed, and requests that start there.
 * Upstreams without load are left out.
 */
export type EngineLoads = Readonly<
  Record<string, { readonly tokens: number; readonly requests: number }>
>;

/** Counts of a gateway's streams since its last report, by service. */
export type GatewayActivity = Readonly<
  Record<string, {
    /** Streams that callers requested. */
    readonly asked: number;
    /** Streams that completed. */
    readonly ended: number;
    /** Streams that are waiting for capacity now. */
    readonly waiting: number;
  }>
>;

/** Activity of the streams of all gateways, by service. */
export type FleetActivity = Readonly<
  Record<string, {
    readonly askedPerS: number;
    readonly endedPerS: number;
    /** Streams that are waiting for capacity. */
    readonly waiting: number;
  }>
>;

/** A rate limit of an upstream as the leader publishes it to gateways. */
export interface PublishedLimit {
  /** Incarnation of the upstream. */
  readonly engineId: string;
  /** Requests per second from all gateways together; null if it is unlimited. */
  readonly limitPerS: number | null;
  /** Unique for each limit that is published. */
  readonly version: number;
}

/** A rate limit that a gateway read in an upstream's response. */
export interface LimitReport {
  readonly engineId: string;
  /** Requests per second from all gateways together; null if it names no limit. */
  readonly limitPerS: number | null;
  /**
   * Version of the limit that the gateway knew when it sent the request; absent if it
   * knew none.
   */
  readonly knownVersion?: number;
}

/** Numbers of sends that a gateway requests, by upstream. */
export type GrantCounts = Readonly<Record<string, number>>;

/** Granted sends. */
export type SendGrants = readonly {
  readonly engineId: string;
  readonly count: number;
  /** Ms until the next send may be granted; 0 if all requested ones were granted. */
  readonly retryAfterMs: number;
}[];

/** A message of a gateway to the leader. */
export type GatewayMessage =
  | {
    readonly type: "hello";
    readonly gateway: GatewayRecord;
    /** Version of the configuration that it has; -1 if none. */
    readonly version: number;
    /** Random name of its process; absent in earlier builds. */
    readonly processId?: string;
    /** Whether it has received the list of gateways; absent if it has. */
    readonly knowsGateways?: boolean;
    /** Gateway's monotonic time, in ms, when it sent this. */
    readonly sentMs: number;
  }
  | {
    readonly type: "beat";
    /** Gateway's monotonic time, in ms, when it sent this. */
    readonly sentMs: number;
    readonly isReady: boolean;
    /** Version of the configuration in force there; absent if already reported. */
    readonly version?: number;
    /** Services whose upstreams it can't reach; absent if none. */
    readonly cutOffServices?: readonly string[];
    /** Engines that did not respond to it. */
    readonly suspects: readonly string[];
    /** Engines that it found failed by probing; absent if none. */
    readonly lost?: readonly string[];
    /**
     * Its own load in flight; absent if it has not changed, and before the gateway
     * knows how this leader numbers upstreams.
     */
    readonly loads?: EngineLoads;
    /** Counts of its streams; absent if there was no activity. */
    readonly activity?: GatewayActivity;
    /** Retries that it needs, by service, for leaders of earlier builds. */
    readonly repeatsWanted?: Readonly<Record<string, number>>;
    /** What became of its retries, and what it asks for, by service. */
    readonly retries?: Readonly<Record<string, RetryReport>>;
    /**
     * Engines of streams that recently had gaps close to what callers tolerate; absent
     * if none.
     */
    readonly slowEngines?: readonly string[];
    /**
     * Upstreams that announced in responses that they are leaving, reported until the
     * gateway's list of upstreams shows it; absent if none.
     */
    readonly leaving?: readonly string[];
    /** Upstreams that crashed under its requests; absent if none. */
    readonly crashes?: readonly CrashReport[];
    /** Suspected requests that upstreams have completed; absent if none. */
    readonly proved?: readonly string[];
    /**
     * Crashes recorded for parts of prompts with which upstreams have run requests
     * since; absent if none.
     */
    readonly provedParts?: readonly CrashReport[];
    /** Suspected parts that upstreams ran earlier without a crash; absent if none. */
    readonly partsRunBefore?: readonly string[];
    /** Requests whose trial run on this gateway has ended; absent if none. */
    readonly trialsEnded?: readonly string[];
    /** Suspected requests for which it requests a trial run; absent if none. */
    readonly trialsWanted?: readonly TrialRequest[];
    /** New rate limits that it read in responses; absent if none. */
    readonly limits?: readonly LimitReport[];
  }
  | {
    /** Requests permission to send to rate-limited upstreams. */
    readonly type: "grantRequest";
    readonly counts: GrantCounts;
    /** Gateway's monotonic time, in ms, of its request. */
    readonly askedMs: number;
  };

/** What a gateway did with the retries that earlier leaders have lent it. */
export interface EarlierRetries {
  /** Retries sent within the window, by age in steps of 250 ms. */
  readonly sent: readonly number[];
  /** Retries that may still be sent; from now on they belong to this session. */
  readonly held: number;
}

/** A gateway's report on its retries of one service; absent fields are 0. */
export interface RetryReport {
  /** Requests of callers that were not reported before, by age in steps of 250 ms. */
  readonly requests?: readonly number[];
  /** Retries lent by earlier leaders; once for each new leader. */
  readonly earlier?: EarlierRetries;
  /** Retries of this session that were sent since the last report. */
  readonly sent?: number;
  /** Retries of this session that it gives back unused. */
  readonly returned?: number;
  /** Retries that calls wait for. */
  readonly needed?: number;
  /** Retries that it would hold for later. */
  readonly spare?: number;
}

/** A request of a gateway to run a suspected request on trial. */
export interface TrialRequest {
  /** Key of the suspected request, or of a part of its prompt. */
  readonly requestKey: string;
  /** Other suspected parts of its prompt; absent if there are none. */
  readonly alsoSuspect?: readonly string[];
  /** Upstreams where it may start, in order of preference. */
  readonly engineIds: readonly string[];
}

/** A suspected request or part as the leader publishes it to gateways. */
export interface PublishedCase {
  readonly requestKey: string;
  /** Parts without which it is not held back; absent if there are none. */
  readonly heldWith?: readonly string[];
  /** Incarnations of upstreams that crashed under it. */
  readonly engineIds: readonly string[];
  /** Ms for which it is held back from now on; 0 if it may have a trial run. */
  readonly heldMs: number;
}

/** A message of the leader to a gateway. */
export type LeaderMessage =
  | { readonly type: "redirect"; readonly address: string }
  | {
    readonly type: "welcome";
    /** Addresses of the control processes, for each other and for gateways. */
    readonly controlAddresses: readonly string[];
    /** All requests suspected of crashing upstreams. */
    readonly cases: readonly PublishedCase[];
    /** All rate limits in force. */
    readonly limits: readonly PublishedLimit[];
  }
  | {
    readonly type: "config";
    readonly version: number;
    /** The operator's configuration document, compressed. */
    readonly packed: string;
  }
  | {
    readonly type: "configChange";
    readonly version: number;
    /** Digest of the newer document. */
    readonly digest: string;
    /** Digest of the document that the gateway has. */
    readonly fromDigest: string;
    readonly change: ConfigChange;
  }
  | {
    readonly type: "engines";
    /** Whether the list is complete; otherwise it contains changes only. */
    readonly isWhole: boolean;
    readonly engines: readonly EngineRecord[];
    readonly gone: readonly string[];
    /** The departed ones that still serve their current requests; absent if none. */
    readonly serving?: readonly string[];
  }
  | {
    readonly type: "gateways";
    /** Whether the list is complete; otherwise it contains changes only. */
    readonly isWhole: boolean;
    readonly gateways: readonly GatewayRecord[];
    /** VMs of departed gateways. */
    readonly gone: readonly string[];
  }
  | {
    readonly type: "loads";
    /** Load in flight of all gateways, including the receiver. */
    readonly loads: EngineLoads;
    readonly activity: FleetActivity;
  }
  | {
    /**
     * Engines that gateways of the receiver's or of the engine's data centre found
     * failed.
     */
    readonly type: "lost";
    readonly engineIds: readonly string[];
  }
  | {
    readonly type: "retriesLent";
    /** Retries lent, by service; 0 if it needs some and none is left. */
    readonly counts: Readonly<Record<string, number>>;
    /** Gateway's monotonic time, in ms, of its request. */
    readonly askedMs: number;
  }
  | {
    /** One service's loan, as earlier builds send and understand it. */
    readonly type: "repeatsLent";
    readonly service: string;
    readonly count: number;
    /** Gateway's monotonic time, in ms, of its request. */
    readonly askedMs: number;
  }
  | {
    /** Changes of the requests suspected of crashing upstreams. */
    readonly type: "cases";
    readonly cases: readonly PublishedCase[];
    /** Requests that are no longer suspected. */
    readonly cleared: readonly string[];
  }
  | {
    /** A suspected request may have one trial run, starting at this upstream. */
    readonly type: "trial";
    readonly requestKey: string;
    readonly engineId: string;
    /** Gateway's monotonic time, in ms, of its request. */
    readonly askedMs: number;
  }
  | {
    /** Rate limits that came into force, changed or ended. */
    readonly type: "limits";
    readonly limits: readonly PublishedLimit[];
  }
  | {
    readonly type: "grants";
    readonly grants: SendGrants;
    /** Gateway's monotonic time, in ms, of its request. */
    readonly askedMs: number;
  }
  | {
    readonly type: "beatAck";
    readonly sentMs: number;
    /** Version in force while a quorum had confirmed the leader's lease. */
    readonly version: number;
  };

/** A call that any control process accepts and the leader answers. */
export type FleetCall =
  | {
    readonly type: "putConfig";
    /** The operator's configuration document, compressed. */
    readonly packed: string;
  }
  | { readonly type: "readConfig" }
  | { readonly type: "beat"; readonly beat: EngineHeartbeat }
  | {
    readonly type: "leave";
    /** The upstream's name, as it reports it itself. */
    readonly engineId: string;
  }
  /** Lists the requests suspected of crashing upstreams. */
  | { readonly type: "listCases" }
  /** Clears the case of a request, whatever the evidence. */
  | { readonly type: "liftCase"; readonly requestKey: string }
  /** Passes the vote of a replica that is about to stop on to a learner. */
  | { readonly type: "releaseVote"; readonly replicaId: string };

/** The leader's reply to a call. */
export type FleetReply =
  | { readonly type: "done" }
  | { readonly type: "document"; readonly document: string | null }
  | { readonly type: "cases"; readonly cases: readonly PublishedCase[] }
  | { readonly type: "invalid"; readonly problems: readonly string[] }
  | { readonly type: "unavailable"; readonly reason: string };
