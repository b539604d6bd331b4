/**
 * Proposals and reads that wait for their answer.
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

/** Proposals and reads that wait for their answer. */
export interface PendingCalls {
  /** Makes a proposal's promise; it gets its number to propose with. */
  startProposal(propose: (id: number) => void): Promise<unknown>;
  startRead(read: (id: number) => void): Promise<unknown>;
  /** A proposal stands in the log and waits for its commit. */
  accept(proposal: { proposalId: number; index: number; term: number }): void;
  /** A proposal stands in no log. */
  refuse(proposalId: number, reason: string): void;
  /** The entry at an index was applied, with a result. */
  settle(entry: { index: number; term: number }, result: unknown): void;
  settleRead(readId: number): void;
  refuseRead(readId: number): void;
  /** Proposals in the log may be committed yet, but not by this replica. */
  loseProposals(error: Error): void;
  /** The replica stops. */
  close(): void;
}

/** Options of {@link createPendingCalls}. */
export interface CreatePendingCallsOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Called with the time, in ms, from acceptance to commit. */
  readonly onCommit: (tookMs: number) => void;
}

/**
 * Makes the register of calls that wait.
 *
 * @param options - The time, and who hears how long commits take.
 * @returns The register, empty.
 * @throws Nothing.
 * @example
 * const pending = createPendingCalls({ now, onCommit });
 */
export function createPendingCalls(
  options: CreatePendingCallsOptions,
): PendingCalls {
  const { now, onCommit } = options;
  const calls = new Map<number, Waiter>();
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

  function loseProposals(error: Error): void {
    for (const proposal of accepted.values()) proposal.reject(error);
    accepted.clear();
  }

  return {
    startProposal: (propose) => start(calls, propose),
    startRead: (read) => start(reads, read),
    accept({ proposalId, index, term }) {
      const waiter = take(calls, proposalId);
      if (!waiter) return;
      accepted.set(index, { ...waiter, term, acceptedMs: now() });
    },
    refuse(proposalId, reason) {
      const error = new ProposalRefusedError(`Proposal refused: ${reason}`);
      take(calls, proposalId)?.reject(error);
    },
    settle(entry, result) {
      const proposal = accepted.get(entry.index);
      if (!proposal) return;
      accepted.delete(entry.index);
      onCommit(now() - proposal.acceptedMs);
      if (proposal.term === entry.term) proposal.resolve(result);
      else proposal.reject(new NotLeaderError("Another leader took the place"));
    },
    settleRead: (readId) => take(reads, readId)?.resolve(undefined),
    refuseRead(readId) {
      const error = new NotLeaderError("This replica does not lead");
      take(reads, readId)?.reject(error);
    },
    loseProposals,
    close() {
      const error = new UnavailableError("Stopped");
      loseProposals(error);
      for (const waiter of [...calls.values(), ...reads.values()]) {
        waiter.reject(error);
      }
    },
  };
}

function take(
  waiters: Map<number, Waiter>,
  id: number,
): Waiter | undefined {
  const waiter = waiters.get(id);
  waiters.delete(id);
  return waiter;
}
