/**
 * Types of the Raft protocol: the state of a replica, its input events and the
 * effects that the caller carries out. All values are plain and immutable; the
 * protocol does no I/O itself.
 *
 * @module
 */

/** Identifies one replica: its VM and the identity of its data folder. */
export type ReplicaId = string;

/**
 * Membership role of a replica. Voters count towards the quorum; learners
 * replicate the log and can be promoted to voters; observers replicate the log
 * without persisting it and are never promoted.
 */
export type ReplicaRole = "voter" | "learner" | "observer";

/** A replica as listed in the membership entries of the log. */
export interface Member {
  readonly id: ReplicaId;
  readonly vm: string;
  readonly address: string;
  readonly role: ReplicaRole;
}

/** Kind of a log entry. */
export type LogEntryKind = "command" | "members" | "noop";

/** One entry of the replicated log; `body` is JSON text. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: LogEntryKind;
  readonly body: string;
}

/** Metadata of a snapshot that covers all entries up to and including `index`. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
}

/** The state that must be on disk before the replica answers a message. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** Durations of the protocol, measured on the replica's own monotonic clock. */
export interface QuorumTiming {
  /** Minimum time, in ms, without leader contact before a replica may vote. */
  readonly electionTimeoutMs: number;
  /** Upper bound, in ms, of the random delay added to the election timeout. */
  readonly electionJitterMs: number;
  /** Interval, in ms, between the heartbeat rounds of a leader. */
  readonly heartbeatIntervalMs: number;
  /** Lease, in ms, counted from the start of a round that a quorum answered. */
  readonly leaseMs: number;
}

/** Replication progress of another replica, as tracked by the leader. */
export interface PeerProgress {
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** Leader's time, in ms, when the newest round it has answered was sent. */
  readonly ackedSentMs: number;
  /** Leader's time, in ms, when a snapshot was sent; 0 if none is in transit. */
  readonly snapshotSentMs: number;
}

/** A read waiting for a quorum to confirm that this replica is the leader. */
export interface PendingRead {
  readonly readId: number;
  readonly index: number;
  readonly askedMs: number;
}

/** Raft role of a replica within a term. */
export type QuorumRole = "follower" | "precandidate" | "candidate" | "leader";

/** Protocol state of one replica. */
export interface QuorumState {
  readonly selfId: ReplicaId;
  readonly timing: QuorumTiming;
  readonly term: number;
  readonly votedFor: ReplicaId | null;
  readonly snapshot: SnapshotMeta;
  /** Contiguous entries that follow the snapshot. */
  readonly log: readonly LogEntry[];
  /** Highest index known to be synced to this replica's own disk. */
  readonly syncedIndex: number;
  readonly commitIndex: number;
  readonly members: readonly Member[];
  readonly membersIndex: number;
  readonly role: QuorumRole;
  readonly leaderId: ReplicaId | null;
  /** Time, in ms, of the last leader contact, or of the start of the process. */
  readonly leaderContactMs: number;
  /** Whether no leader has contacted the replica since it started. */
  readonly hasNoLeaderContact: boolean;
  readonly electionDeadlineMs: number;
  readonly heartbeatDueMs: number;
  readonly votes: Readonly<Record<ReplicaId, boolean>>;
  readonly peers: Readonly<Record<ReplicaId, PeerProgress>>;
  readonly reads: readonly PendingRead[];
  /**
   * Set once this leader has begun a leadership transfer in this term: the
   * target may win an election while the lease still runs.
   */
  readonly leaseForfeited: boolean;
  readonly transferDeadlineMs: number;
  /** Target of the leadership transfer, until its log has caught up. */
  readonly transferTo: ReplicaId | null;
}

/** Requests a vote, or asks whether it would be granted (`preVote`). */
export interface VoteRequestBody {
  readonly type: "voteRequest";
  readonly preVote: boolean;
  /** Set when the leader itself transfers leadership to the sender. */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Response to a vote request. */
export interface VoteResponseBody {
  readonly type: "voteResponse";
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Log entries from the leader; empty for a heartbeat. */
export interface AppendRequestBody {
  readonly type: "appendRequest";
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  readonly sentMs: number;
  readonly entries: readonly LogEntry[];
}

/** Response to an append request, sent once the entries are synced. */
export interface AppendResponseBody {
  readonly type: "appendResponse";
  readonly success: boolean;
  /** Last matching index on success; otherwise a hint where to retry. */
  readonly matchIndex: number;
  readonly echoSentMs: number;
}

/** A complete snapshot, which the transport reassembles from chunks. */
export interface SnapshotBody {
  readonly type: "snapshot";
  readonly meta: SnapshotMeta;
  readonly data: string;
  readonly sentMs: number;
}

/** Tells the target of a leadership transfer to start an election at once. */
export interface TimeoutNowBody {
  readonly type: "timeoutNow";
}

/** Body of a message between replicas. */
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

/** Input of a protocol step. */
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

/** Why a proposal was refused. */
export type QuorumRefusal = "not_leader" | "change_pending" | "transferring";

/** Output of a protocol step; the caller carries the effects out in order. */
export type QuorumEffect =
  | {
    readonly type: "persist";
    readonly hard: HardState;
    /** Entries to write; they replace the log from the first one's index on. */
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
    /** Whether to send only once all earlier `persist` effects are synced. */
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

/** Time and randomness for one step. */
export interface StepContext {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /**
   * Monotonic time, in ms, when the machine last resumed from a suspension.
   * Leases that began before it are invalid. Absent if it was never suspended.
   */
  readonly wokeMs?: number;
  /** A number in [0, 1). */
  readonly random: number;
}

/** Result of one step. */
export interface StepResult {
  readonly state: QuorumState;
  readonly effects: readonly QuorumEffect[];
}
