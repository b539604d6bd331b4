/**
 * The values that the quorum protocol works on: its state, the events that
 * move it and the effects that it asks for. All are plain and immutable; the
 * protocol does no input or output itself.
 *
 * @module
 */

/** Names one replica: the VM and the identity of its data folder. */
export type ReplicaId = string;

/**
 * What a replica may do: voters count for the quorum, learners follow until
 * they are needed as voters, observers only follow: they keep nothing over a
 * restart.
 */
export type ReplicaRole = "voter" | "learner" | "observer";

/** A replica as the log's membership entries name it. */
export interface Member {
  readonly id: ReplicaId;
  readonly vm: string;
  readonly address: string;
  readonly role: ReplicaRole;
}

/** What an entry of the log holds. */
export type LogEntryKind = "command" | "members" | "noop";

/** One entry of the replicated log; `body` is JSON text. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: LogEntryKind;
  readonly body: string;
}

/** What a snapshot stands for: all entries up to and including `index`. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
}

/** The part of the state that must be synced before an answer counts. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** The protocol's times, all on the replica's own monotonic clock. */
export interface QuorumTiming {
  /** Shortest silence of a leader, in ms, before a replica may vote again. */
  readonly electionTimeoutMs: number;
  /** Random ms, at most, added to the time before a replica stands itself. */
  readonly electionJitterMs: number;
  /** Time, in ms, between two rounds of a leader's heartbeats. */
  readonly heartbeatIntervalMs: number;
  /** Time, in ms, for which a round that a quorum answered is a lease. */
  readonly leaseMs: number;
}

/** The leader's view of one other replica. */
export interface PeerProgress {
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** Leader's time, in ms, of the newest round that the replica answered. */
  readonly ackedSentMs: number;
  /** Leader's time, in ms, when a snapshot went out; 0 where none is on its way. */
  readonly snapshotSentMs: number;
}

/** A read that waits for proof that this replica still leads. */
export interface PendingRead {
  readonly readId: number;
  readonly index: number;
  readonly askedMs: number;
}

/** The parts that a replica can play in a term. */
export type QuorumRole = "follower" | "precandidate" | "candidate" | "leader";

/** The whole state of one replica. */
export interface QuorumState {
  readonly selfId: ReplicaId;
  readonly timing: QuorumTiming;
  readonly term: number;
  readonly votedFor: ReplicaId | null;
  readonly snapshot: SnapshotMeta;
  /** Entries after the snapshot, without gaps. */
  readonly log: readonly LogEntry[];
  /** Highest index known to be synced on this replica's own disk. */
  readonly syncedIndex: number;
  readonly commitIndex: number;
  readonly members: readonly Member[];
  readonly membersIndex: number;
  readonly role: QuorumRole;
  readonly leaderId: ReplicaId | null;
  /** Last time, in ms, when a leader was heard, or when the replica started. */
  readonly leaderContactMs: number;
  /** Whether it has heard no leader since it started. */
  readonly isLeaderUnheard: boolean;
  readonly electionDeadlineMs: number;
  readonly heartbeatDueMs: number;
  readonly votes: Readonly<Record<ReplicaId, boolean>>;
  readonly peers: Readonly<Record<ReplicaId, PeerProgress>>;
  readonly reads: readonly PendingRead[];
  /** Set once this leader has asked another to take over in this term. */
  readonly leaseForfeited: boolean;
  readonly transferDeadlineMs: number;
  /** Who is to take over once it holds the whole log; null where nobody. */
  readonly transferTo: ReplicaId | null;
}

/** Asks for a vote, or whether one would be given (`preVote`). */
export interface VoteRequestBody {
  readonly type: "voteRequest";
  readonly preVote: boolean;
  /** Set when the leader itself asked the sender to take over. */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** The answer to a vote request. */
export interface VoteResponseBody {
  readonly type: "voteResponse";
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Entries, or none as a heartbeat, from the leader. */
export interface AppendRequestBody {
  readonly type: "appendRequest";
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  readonly sentMs: number;
  readonly entries: readonly LogEntry[];
}

/** The answer to an append request, sent once the entries are synced. */
export interface AppendResponseBody {
  readonly type: "appendResponse";
  readonly success: boolean;
  /** On success the last index that matches; else where to try next. */
  readonly matchIndex: number;
  readonly echoSentMs: number;
}

/** A whole snapshot, put together by the adapter from its chunks. */
export interface SnapshotBody {
  readonly type: "snapshot";
  readonly meta: SnapshotMeta;
  readonly data: string;
  readonly sentMs: number;
}

/** The leader asks the receiver to stand at once. */
export interface TimeoutNowBody {
  readonly type: "timeoutNow";
}

/** Any body of a message between replicas. */
export type QuorumMessageBody =
  | VoteRequestBody
  | VoteResponseBody
  | AppendRequestBody
  | AppendResponseBody
  | SnapshotBody
  | TimeoutNowBody;

/** A message between two replicas. */
export interface QuorumMessage {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
  readonly body: QuorumMessageBody;
}

/** What moves the state. */
export type QuorumEvent =
  | { readonly type: "tick" }
  | { readonly type: "message"; readonly message: QuorumMessage }
  | {
    readonly type: "propose";
    readonly proposalId: number;
    readonly body: string;
  }
  | {
    readonly type: "changeMembers";
    readonly proposalId: number;
    readonly members: readonly Member[];
  }
  | { readonly type: "read"; readonly readId: number }
  | { readonly type: "synced"; readonly index: number; readonly term: number }
  | { readonly type: "compact"; readonly meta: SnapshotMeta }
  | { readonly type: "transfer"; readonly to: ReplicaId };

/** Why a proposal or a read was turned down. */
export type QuorumRefusal = "not_leader" | "change_pending" | "transferring";

/** What the adapter has to carry out, in order. */
export type QuorumEffect =
  | {
    readonly type: "persist";
    readonly hard: HardState;
    /** Entries to write; the first one's index cuts what stood from there. */
    readonly entries: readonly LogEntry[];
  }
  | {
    readonly type: "installSnapshot";
    readonly hard: HardState;
    readonly meta: SnapshotMeta;
    readonly data: string;
  }
  | {
    readonly type: "send";
    readonly message: QuorumMessage;
    /** Only after all that was to be persisted before it is synced. */
    readonly afterSync: boolean;
  }
  | { readonly type: "sendSnapshot"; readonly to: ReplicaId }
  | { readonly type: "commit"; readonly entries: readonly LogEntry[] }
  | {
    readonly type: "accepted";
    readonly proposalId: number;
    readonly index: number;
    readonly term: number;
  }
  | {
    readonly type: "refused";
    readonly proposalId: number;
    readonly reason: QuorumRefusal;
  }
  | {
    readonly type: "readReady";
    readonly readId: number;
    readonly index: number;
  }
  | { readonly type: "readRefused"; readonly readId: number }
  | {
    readonly type: "roleChanged";
    readonly role: QuorumRole;
    readonly term: number;
    readonly leaderId: ReplicaId | null;
  };

/** The time and the randomness of one step. */
export interface StepContext {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /**
   * When its machine was last found to have been suspended, in ms of the same
   * clock; a lease from before then is none. Absent where it never was.
   */
  readonly wokeMs?: number;
  /** A number from 0 up to, not including, 1. */
  readonly random: number;
}

/** What one step gives back. */
export interface StepResult {
  readonly state: QuorumState;
  readonly effects: readonly QuorumEffect[];
}
