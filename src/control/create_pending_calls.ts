/**
 * Tracks proposals and reads until they complete.
 *
 * @module
 */

import {
  NotLeaderError,
  ProposalRefusedError,
  UnavailableError,
} from "./control_error.ts";

interface Waiter {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
}

interface AcceptedProposal extends Waiter {
  readonly term: number;
  readonly acceptedMs: number;
}

/** The pending proposals and reads. */
export interface PendingCalls {
  /** Registers a proposal and calls `propose` with its id. */
  startProposal(propose: (id: number) => void): Promise<unknown>;
  startRead(read: (id: number) => void): Promise<unknown>;
  /** Marks a proposal as appended to the log and waiting for its commit. */
  markAccepted(
    proposal: { proposalId: number; index: number; term: number },
  ): void;
  /** Rejects a proposal that was not appended to any log. */
  rejectProposal(proposalId: number, reason: string): void;
  /** Completes the proposal of an applied log entry with its result. */
  completeProposal(
    entry: { index: number; term: number },
    result: unknown,
  ): void;
  completeRead(readId: number): void;
  rejectRead(readId: number): void;
  /**
   * Rejects all proposals that wait for their commit. Another leader may still
   * commit them.
   */
  rejectAccepted(error: Error): void;
  /** Rejects everything that is pending because the replica stops. */
  close(): void;
}

/** Options of {@link createPendingCalls}. */
export interface CreatePendingCallsOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Called with the time from append to commit, in ms. */
  readonly onCommit: (tookMs: number) => void;
}

/**
 * Creates an empty registry of pending proposals and reads.
 *
 * @param options - The clock, and a callback for commit times.
 * @returns The registry.
 * @throws Nothing.
 * @example
 * const pending = createPendingCalls({ now, onCommit });
 */
export function createPendingCalls(
  options: CreatePendingCallsOptions,
): PendingCalls {
  const { now, onCommit } = options;
  const submitted = new Map<number, Waiter>();
  const accepted = new Map<number, AcceptedProposal>();
  const reads = new Map<number, Waiter>();
  let nextId = 1;

  function start(
    waiters: Map<number, Waiter>,
    begin: (id: number) => void,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const id = nextId++;
      waiters.set(id, { resolve, reject });
      begin(id);
    });
  }

  function rejectAccepted(error: Error): void {
    for (const proposal of accepted.values()) proposal.reject(error);
    accepted.clear();
  }

  return {
    startProposal: (propose) => start(submitted, propose),
    startRead: (read) => start(reads, read),
    markAccepted({ proposalId, index, term }) {
      const waiter = removeWaiter(submitted, proposalId);
      if (!waiter) return;
      accepted.set(index, { ...waiter, term, acceptedMs: now() });
    },
    rejectProposal(proposalId, reason) {
      const error = new ProposalRefusedError(`Proposal rejected: ${reason}`);
      removeWaiter(submitted, proposalId)?.reject(error);
    },
    completeProposal(entry, result) {
      const proposal = accepted.get(entry.index);
      if (!proposal) return;
      accepted.delete(entry.index);
      onCommit(now() - proposal.acceptedMs);
      if (proposal.term === entry.term) proposal.resolve(result);
      else proposal.reject(new NotLeaderError("Overwritten by another leader"));
    },
    completeRead: (readId) => removeWaiter(reads, readId)?.resolve(undefined),
    rejectRead(readId) {
      const error = new NotLeaderError("This replica is not the leader");
      removeWaiter(reads, readId)?.reject(error);
    },
    rejectAccepted,
    close() {
      const error = new UnavailableError("The replica has shut down");
      rejectAccepted(error);
      for (const waiter of [...submitted.values(), ...reads.values()]) {
        waiter.reject(error);
      }
    },
  };
}

function removeWaiter(
  waiters: Map<number, Waiter>,
  id: number,
): Waiter | undefined {
  const waiter = waiters.get(id);
  waiters.delete(id);
  return waiter;
}
