/**
 * Upstreams that register themselves, as the fleet knows them.
 *
 * @module
 */

/** A range of a model's layers; `toLayer` is the first one after it. */
export interface LayerRange {
  readonly fromLayer: number;
  readonly toLayer: number;
}

/** One heartbeat of an upstream, decoded. */
export interface EngineBeat {
  /** Names this run of the upstream; a restart gets another. */
  readonly engineId: string;
  /** Names the upstream, whichever run of it; absent where its id does. */
  readonly name?: string;
  /**
   * When this run started, in Unix ms of the upstream's own clock: it orders the
   * runs of one upstream and means nothing besides. Absent where none tells it.
   */
  readonly startedMs?: number;
  readonly service: string;
  /** Host and port where it takes requests. */
  readonly address: string;
  readonly place: string;
  /** Requests that it works on at a time. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Rises with every beat, so that a late one is told apart. */
  readonly sequence: number;
  /** Names of the models that it serves; undefined where it tells none. */
  readonly models?: readonly string[];
  /** Layers that it holds; absent where it holds none or tells none. */
  readonly layers?: LayerRange;
  /** Kind of its accelerator card, where it tells one. */
  readonly card?: string;
}

/** What gateways are told of an upstream. */
export interface EngineRecord extends Omit<EngineBeat, "sequence"> {
  /** How many times as long as usual it works; absent where it is not slow. */
  readonly slowness?: number;
}

/** An upstream that leaves: it still answers, or it is gone. */
export type LeaveKind = "draining" | "gone";

/** An upstream in the leader's registry. */
export interface RegisteredEngine {
  readonly record: EngineRecord;
  readonly sequence: number;
  /** Leader's time, in ms, of the newest beat. */
  readonly heardMs: number;
}

/** A beat of an upstream at an address that another one has. */
export interface AddressClaim {
  readonly sequence: number;
  /** Leader's time, in ms, when it came. */
  readonly heardMs: number;
}

/** The leader's registry; plain and immutable but for its maps' owner. */
export interface RegistryState {
  readonly engines: ReadonlyMap<string, RegisteredEngine>;
  /** Claims to addresses that are taken, by the upstream that made them. */
  readonly claims?: ReadonlyMap<string, AddressClaim>;
  /** Newest runs, by the upstream's name, also of those that are gone. */
  readonly newestRuns?: NewestRuns;
}

/** The newest run of an upstream. */
export interface NewestRun {
  readonly engineId: string;
  /** When it started, by its own clock, in Unix ms. */
  readonly startedMs: number;
}

/** The newest runs by the upstream's name. */
export type NewestRuns = ReadonlyMap<string, NewestRun>;

/** What an upstream says of itself in an answer, whatever it answers. */
export interface EngineNotice {
  /** Ms for which it wants nothing of who asked; absent where it asks for none. */
  readonly backOffMs?: number;
  /** Whether it says that it leaves. */
  readonly isLeaving: boolean;
  /**
   * Requests a second that it takes from all gateways together: Infinity where it
   * names no limit, absent where what it names can't be read.
   */
  readonly limitPerS?: number;
}

/** How long a call to an upstream takes, and who hears what it says of itself. */
export interface EngineCallOptions {
  readonly timeoutMs: number;
  readonly onNotice?: (notice: EngineNotice) => void;
}
