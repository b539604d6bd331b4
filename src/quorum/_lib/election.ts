/**
 * Elections: pre-vote, vote and the first steps of a new leader.
 *
 * @module
 */

import type {
  QuorumMessage,
  VoteRequestBody,
  VoteResponseBody,
} from "../types.ts";
import {
  becomeFollower,
  type Draft,
  getLastIndex,
  getTermAt,
  getVoterIds,
  isQuorum,
  isVoter,
  markDirty,
  resetElectionTimer,
  send,
  setRole,
} from "./draft.ts";
import { broadcastAppend, getProgress } from "./replication.ts";

/** Asks the voters whether an election could be won, without raising the term. */
export function startPreVote(draft: Draft): void {
  resetElectionTimer(draft);
  if (!isVoter(draft)) return;
  draft.leaderId = null;
  draft.votes = { [draft.selfId]: true };
  setRole(draft, "precandidate");
  requestVotes(draft, { preVote: true, transfer: false });
  countVotes(draft, { transfer: false });
}

/** Becomes a candidate in a new term. */
export function startElection(
  draft: Draft,
  options: { transfer: boolean },
): void {
  if (!isVoter(draft)) return;
  draft.term += 1;
  draft.votedFor = draft.selfId;
  draft.hardDirty = true;
  draft.leaderId = null;
  draft.votes = { [draft.selfId]: true };
  resetElectionTimer(draft);
  setRole(draft, "candidate");
  requestVotes(draft, { preVote: false, transfer: options.transfer });
  countVotes(draft, options);
}

function requestVotes(
  draft: Draft,
  options: { preVote: boolean; transfer: boolean },
): void {
  const lastIndex = getLastIndex(draft);
  const lastTerm = getTermAt(draft, lastIndex) ?? 0;
  const term = options.preVote ? draft.term + 1 : draft.term;
  const body: VoteRequestBody = {
    type: "voteRequest",
    lastIndex,
    lastTerm,
    ...options,
  };
  for (const id of getVoterIds(draft)) {
    if (id !== draft.selfId) send(draft, id, { body, term });
  }
}

/** Answers a vote or pre-vote request. */
export function handleVoteRequest(
  draft: Draft,
  message: QuorumMessage,
): void {
  const body = message.body as VoteRequestBody;
  const { nowMs } = draft.context;
  const sinceContactMs = nowMs - draft.leaderContactMs;
  const leaseMayHold = draft.role === "leader" ||
    sinceContactMs < draft.timing.electionTimeoutMs;
  // A leader that may still hold a lease is only replaced at its own request.
  if (leaseMayHold && !body.transfer) {
    refuseVote(draft, message);
    return;
  }
  if (!body.preVote && message.term > draft.term) {
    becomeFollower(draft, { term: message.term, leaderId: null });
  }
  const lastIndex = getLastIndex(draft);
  const lastTerm = getTermAt(draft, lastIndex) ?? 0;
  const upToDate = body.lastTerm > lastTerm ||
    (body.lastTerm === lastTerm && body.lastIndex >= lastIndex);
  const canVote = body.preVote
    ? message.term > draft.term
    : message.term === draft.term &&
      (draft.votedFor === null || draft.votedFor === message.from);
  // A learner votes too: the candidate may know of its promotion before it does,
  // and counts only the votes of members that are voters in its own log.
  if (!upToDate || !canVote) {
    refuseVote(draft, message);
    return;
  }
  if (!body.preVote) {
    draft.votedFor = message.from;
    draft.hardDirty = true;
    resetElectionTimer(draft);
  }
  send(draft, message.from, {
    body: { type: "voteResponse", preVote: body.preVote, granted: true },
    term: message.term,
  });
}

function refuseVote(draft: Draft, message: QuorumMessage): void {
  const { preVote } = message.body as VoteRequestBody;
  send(draft, message.from, {
    body: { type: "voteResponse", preVote, granted: false },
  });
}

/** Counts the response to a vote or pre-vote request. */
export function handleVoteResponse(
  draft: Draft,
  message: QuorumMessage,
): void {
  const body = message.body as VoteResponseBody;
  const expectedRole = body.preVote ? "precandidate" : "candidate";
  const expectedTerm = body.preVote ? draft.term + 1 : draft.term;
  if (draft.role !== expectedRole) return;
  if (body.granted && message.term !== expectedTerm) return;
  draft.votes = { ...draft.votes, [message.from]: body.granted };
  countVotes(draft, { transfer: false });
}

function countVotes(draft: Draft, options: { transfer: boolean }): void {
  const granted = Object.keys(draft.votes).filter((id) => draft.votes[id]);
  if (!isQuorum(draft, new Set(granted))) return;
  if (draft.role === "precandidate") {
    startElection(draft, options);
    return;
  }
  if (draft.role === "candidate") becomeLeader(draft);
}

function becomeLeader(draft: Draft): void {
  const { nowMs } = draft.context;
  draft.leaderId = draft.selfId;
  draft.leaseForfeited = false;
  draft.transferDeadlineMs = 0;
  draft.peers = Object.fromEntries(
    draft.members.map(({ id }) => [id, getProgress(draft, id)]),
  );
  draft.leaderContactMs = nowMs;
  draft.hasNoLeaderContact = false;
  setRole(draft, "leader");
  const index = getLastIndex(draft) + 1;
  const noop = { index, term: draft.term, kind: "noop" as const, body: "" };
  draft.log = [...draft.log, noop];
  markDirty(draft, index);
  broadcastAppend(draft);
}
