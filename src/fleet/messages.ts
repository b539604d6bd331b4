/**
 * What gateways and control processes tell each other.
 *
 * @module
 */

import type { EngineBeat, EngineRecord } from "../engines/index.ts";
import type { CrashReport } from "../quarantine/index.ts";
import type { ConfigChange, RouteConfig } from "../routes/index.ts";

/** Decodes a configuration as an operator wrote it; throws where it can't. */
export type DecodeConfig = (document: string) => RouteConfig;

/** A gateway as callers and other gateways need to know it. */
export interface GatewayRecord {
  readonly vm: string;
  readonly place: string;
  /** Host and port where it takes callers. */
  readonly address: string;
  /** Whether callers may be sent there. */
  readonly isReady: boolean;
}

/**
 * Work in flight by upstream: tokens on it, and requests that begin there.
 * Upstreams without any are left out.
 */
export type EngineLoads = Readonly<
  Record<string, { readonly tokens: number; readonly requests: number }>
>;

/** What a gateway's streams did since it last told, by service. */
export type GatewayActivity = Readonly<
  Record<string, {
    /** Streams that callers asked for. */
    readonly asked: number;
    /** Streams that ended whole. */
    readonly ended: number;
    /** Streams that wait for room now. */
    readonly waiting: number;
  }>
>;

/** What the streams of all gateways do, by service. */
export type FleetActivity = Readonly<
  Record<string, {
    readonly askedPerS: number;
    readonly endedPerS: number;
    /** Streams that wait for room. */
    readonly waiting: number;
  }>
>;

/** A rate limit of an upstream as gateways are told of it. */
export interface ToldLimit {
  /** Run of the upstream. */
  readonly engineId: string;
  /** Requests a second from all gateways together; null where it is unlimited. */
  readonly limitPerS: number | null;
  /** Another one for each limit that is told. */
  readonly version: number;
}

/** A rate limit that a gateway read in an upstream's answer. */
export interface LimitReport {
  readonly engineId: string;
  /** Requests a second from all gateways together; null where it names no limit. */
  readonly limitPerS: number | null;
  /**
   * Version of the limit that the gateway knew when it sent the request; absent where
   * it knew none.
   */
  readonly knownVersion?: number;
}

/** Sends for which a gateway asks, by upstream. */
export type GrantCounts = Readonly<Record<string, number>>;

/** Sends that are granted. */
export type SendGrants = readonly {
  readonly engineId: string;
  readonly count: number;
  /** Ms until the next may be granted; 0 where all that were asked for are. */
  readonly retryAfterMs: number;
}[];

/** What a gateway tells the leader. */
export type GatewayMessage =
  | {
    readonly type: "hello";
    readonly gateway: GatewayRecord;
    /** Version of the configuration that it has; -1 without any. */
    readonly version: number;
    /** Whether it was told of the others; absent where it was. */
    readonly knowsGateways?: boolean;
    /** Gateway's monotonic time, in ms, when it sent this. */
    readonly sentMs: number;
  }
  | {
    readonly type: "beat";
    /** Gateway's monotonic time, in ms, when it sent this. */
    readonly sentMs: number;
    readonly isReady: boolean;
    /** Version of the configuration in force there; absent where it was told. */
    readonly version?: number;
    /** Engines that did not answer it. */
    readonly suspects: readonly string[];
    /** Engines that it found lost by its questions; absent where none. */
    readonly lost?: readonly string[];
    /**
     * Its own work in flight; absent where it has not changed, and before the
     * gateway knows how this leader numbers upstreams.
     */
    readonly loads?: EngineLoads;
    /** What its streams did; absent where they did nothing. */
    readonly activity?: GatewayActivity;
    /** Repeats that it would borrow, by service; absent where none. */
    readonly repeatsWanted?: Readonly<Record<string, number>>;
    /**
     * Engines over which streams run that lately had pauses near what callers
     * bear; absent where none had.
     */
    readonly slowEngines?: readonly string[];
    /**
     * Upstreams that said in answers that they leave, told until its list of
     * upstreams has it; absent where none.
     */
    readonly leaving?: readonly string[];
    /** Upstreams that ended under its requests; absent where none. */
    readonly crashes?: readonly CrashReport[];
    /** Suspected requests that upstreams have run well; absent where none. */
    readonly proved?: readonly string[];
    /** Requests whose trial here has ended; absent where none. */
    readonly trialsEnded?: readonly string[];
    /** Suspected requests that it would run on trial; absent where none. */
    readonly trialsWanted?: readonly TrialWish[];
    /** Rate limits that it read in answers; absent where none are new. */
    readonly limits?: readonly LimitReport[];
  }
  | {
    /** Asks for leave to send to upstreams that are limited. */
    readonly type: "grantRequest";
    readonly counts: GrantCounts;
    /** Gateway's monotonic time, in ms, when it asked. */
    readonly askedMs: number;
  };

/** A suspected request that a gateway would run on trial. */
export interface TrialWish {
  readonly requestKey: string;
  /** Upstreams at which it may begin, the preferred first. */
  readonly engineIds: readonly string[];
}

/** A suspected request as gateways are told of it. */
export interface ToldCase {
  readonly requestKey: string;
  /** Runs of upstreams that ended under it. */
  readonly engineIds: readonly string[];
  /** Ms for which it is held back from now on; 0 where it may be tried. */
  readonly heldMs: number;
}

/** What the leader tells a gateway. */
export type LeaderMessage =
  | { readonly type: "redirect"; readonly address: string }
  | {
    readonly type: "welcome";
    /** Where the control processes talk to each other and to gateways. */
    readonly controlAddresses: readonly string[];
    /** All requests that are suspected of ending upstreams. */
    readonly cases: readonly ToldCase[];
    /** All rate limits of upstreams that are in force. */
    readonly limits: readonly ToldLimit[];
  }
  | {
    readonly type: "config";
    readonly version: number;
    /** The configuration as the operator wrote it, packed. */
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
    /** Whether these are all; otherwise only what changed. */
    readonly isWhole: boolean;
    readonly engines: readonly EngineRecord[];
    readonly gone: readonly string[];
    /** Those of the gone that still serve what they have; absent where none do. */
    readonly serving?: readonly string[];
  }
  | {
    readonly type: "gateways";
    /** Whether these are all; otherwise only what changed. */
    readonly isWhole: boolean;
    readonly gateways: readonly GatewayRecord[];
    /** VMs whose gateways are no longer there. */
    readonly gone: readonly string[];
  }
  | {
    readonly type: "loads";
    /** Work in flight of all gateways, the one that is told included. */
    readonly loads: EngineLoads;
    readonly activity: FleetActivity;
  }
  | {
    /** Engines that gateways of the same data centre found lost. */
    readonly type: "lost";
    readonly engineIds: readonly string[];
  }
  | {
    readonly type: "repeatsLent";
    readonly service: string;
    readonly count: number;
    /** Gateway's monotonic time, in ms, when it asked. */
    readonly askedMs: number;
  }
  | {
    /** What changed of the requests that are suspected of ending upstreams. */
    readonly type: "cases";
    readonly cases: readonly ToldCase[];
    /** Requests that nothing speaks against any more. */
    readonly cleared: readonly string[];
  }
  | {
    /** A suspected request may run once, beginning at this upstream. */
    readonly type: "trial";
    readonly requestKey: string;
    readonly engineId: string;
    /** Gateway's monotonic time, in ms, when it asked. */
    readonly askedMs: number;
  }
  | {
    /** Rate limits of upstreams that came into force, changed or ended. */
    readonly type: "limits";
    readonly limits: readonly ToldLimit[];
  }
  | {
    readonly type: "grants";
    readonly grants: SendGrants;
    /** Gateway's monotonic time, in ms, when it asked. */
    readonly askedMs: number;
  }
  | {
    readonly type: "beatAck";
    readonly sentMs: number;
    /** Version in force when a quorum surely held the leader's lease. */
    readonly version: number;
  };

/** A call that any control process takes and the leader answers. */
export type FleetCall =
  | {
    readonly type: "putConfig";
    /** The configuration as the operator wrote it, packed. */
    readonly packed: string;
  }
  | { readonly type: "readConfig" }
  | { readonly type: "beat"; readonly beat: EngineBeat }
  | {
    readonly type: "leave";
    /** The upstream's name, as it says it itself. */
    readonly engineId: string;
  }
  /** Asks which requests are suspected of ending upstreams. */
  | { readonly type: "listCases" }
  /** Lets a request go free, whatever speaks against it. */
  | { readonly type: "liftCase"; readonly requestKey: string };

/** The leader's answer to a call. */
export type FleetReply =
  | { readonly type: "done" }
  | { readonly type: "document"; readonly document: string | null }
  | { readonly type: "cases"; readonly cases: readonly ToldCase[] }
  | { readonly type: "invalid"; readonly problems: readonly string[] }
  | { readonly type: "unavailable"; readonly reason: string };
