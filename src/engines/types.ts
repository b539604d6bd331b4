/**
 * Types of upstreams that register themselves, and of their registry.
 *
 * @module
 */

/** A range of a model's layers; `toLayer` is exclusive. */
export interface LayerRange {
  readonly fromLayer: number;
  readonly toLayer: number;
}

/** A decoded heartbeat of an upstream. */
export interface EngineHeartbeat {
  /** Identifies this incarnation of the upstream; each restart gets a new one. */
  readonly engineId: string;
  /** Identifies the upstream across restarts; absent if its id does. */
  readonly name?: string;
  /**
   * Start time of this incarnation, in Unix ms of the upstream's own clock. Used only to
   * order the incarnations of one upstream. Absent if it is not reported.
   */
  readonly startedMs?: number;
  readonly service: string;
  /** Host and port where it accepts requests. */
  readonly address: string;
  readonly place: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Increases with every heartbeat, so that a late one is recognised. */
  readonly sequence: number;
  /** Names of the models that it serves; undefined if it reports none. */
  readonly models?: readonly string[];
  /** Layers that it holds; absent if it holds or reports none. */
  readonly layers?: LayerRange;
  /** Kind of its accelerator card, if it reports one. */
  readonly card?: string;
}

/** An upstream as the leader publishes it to gateways. */
export interface EngineRecord extends Omit<EngineHeartbeat, "sequence"> {
  /** Factor by which it is slower than usual; absent if it is not slow. */
  readonly slowness?: number;
}

/** State of a leaving upstream: still serving its requests, or departed. */
export type LeaveKind = "draining" | "gone";

/** An upstream in the leader's registry. */
export interface RegisteredEngine {
  readonly record: EngineRecord;
  readonly sequence: number;
  /** Leader's time, in ms, of the newest heartbeat. */
  readonly lastHeartbeatMs: number;
}

/** A heartbeat from an address that is registered to another upstream. */
export interface AddressClaim {
  readonly sequence: number;
  /** Leader's time, in ms, when it was received. */
  readonly receivedMs: number;
}

/** The leader's registry, as an immutable value. */
export interface RegistryState {
  readonly engines: ReadonlyMap<string, RegisteredEngine>;
  /** Claims to addresses that are in use, by the claiming upstream. */
  readonly claims?: ReadonlyMap<string, AddressClaim>;
  /** Newest incarnations by the upstream's name, including departed ones. */
  readonly newestRuns?: NewestIncarnations;
}

/** The newest incarnation of an upstream. */
export interface NewestIncarnation {
  readonly engineId: string;
  /** Start time, in Unix ms of its own clock. */
  readonly startedMs: number;
}

/** The newest incarnations by the upstream's name. */
export type NewestIncarnations = ReadonlyMap<string, NewestIncarnation>;

/** What an upstream reports about itself with a response of any kind. */
export interface EngineNotice {
  /** Ms for which the caller should back off; absent if it requests none. */
  readonly backOffMs?: number;
  /** Whether it reports that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Requests per second that it accepts from all gateways together: Infinity if it
   * names no limit, absent if the limit can't be parsed.
   */
  readonly limitPerS?: number;
}

/** Options of a call to an upstream: its deadline, and a callback for the notice. */
export interface EngineCallOptions {
  readonly timeoutMs: number;
  readonly onNotice?: (notice: EngineNotice) => void;
}
