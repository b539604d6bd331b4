/**
 * The replicated state machine: accepted resources and the claim ledger.
 *
 * @module
 */

import {
  beginClaim,
  type Claim,
  type ClaimBeginCommand,
  type ClaimEndCommand,
  type ClaimLedger,
  type ClaimVerdict,
  createClaimLedger,
  endClaim,
  peekClaim,
} from "../claims/index.ts";
import type { ResourceChange } from "../model/index.ts";
import {
  applyChange,
  type ChangeCommand,
  type ChangeResult,
  createResourceState,
  getResourceStateData,
  parseResourceStateData,
  type ResourceState,
  type ResourceStateData,
} from "../resources/index.ts";

/** A command of the replicated log. */
export type Command = ChangeCommand | ClaimBeginCommand | ClaimEndCommand;

/** The result of applying a command, returned to its proposer. */
export type CommandResult = ChangeResult | ClaimVerdict | boolean;

/** The fields that identify a claim for a lookup. */
export type ClaimLookup = Pick<
  ClaimBeginCommand,
  "clientAccount" | "key" | "requestHash"
>;

/** The state machine of one replica. */
export interface StateMachine {
  getResources(): ResourceState;
  /** Time of the newest claim command, in ms on the ledger's clock. */
  getLedgerTimeMs(): number;
  /** Evaluates a claim against the current ledger without recording it. */
  peekClaim(claim: ClaimLookup): ClaimVerdict;
  apply(body: string): CommandResult;
  save(): string;
  restore(data: string): void;
}

/** The serialized form of the state machine. */
interface SavedStateMachine {
  readonly resources: ResourceStateData;
  readonly claims: readonly (readonly [string, Claim])[];
  readonly ledgerTimeMs: number;
}

/** Options of {@link createStateMachine}. */
export interface CreateStateMachineOptions {
  /** How long the ledger keeps a claim, in ms. */
  readonly claimWindowMs: number;
  /** Called for each accepted change. */
  readonly onChange?: (change: ResourceChange) => void;
}

/**
 * Creates the state machine of a replica.
 *
 * @param options - The claim retention window, and a callback for changes.
 * @returns An empty state machine.
 * @throws Nothing.
 * @example
 * const machine = createStateMachine({ claimWindowMs: 900_000 });
 */
export function createStateMachine(
  options: CreateStateMachineOptions,
): StateMachine {
  const { claimWindowMs, onChange = () => {} } = options;
  let resources = createResourceState();
  let ledger: ClaimLedger = createClaimLedger({ windowMs: claimWindowMs });
  let ledgerTimeMs = 0;

  function apply(body: string): CommandResult {
    const command = JSON.parse(body) as Command;
    switch (command.type) {
      case "change": {
        const applied = applyChange(resources, command);
        resources = applied.state;
        if (applied.change) onChange(applied.change);
        return applied.result;
      }
      case "claimBegin":
        ledgerTimeMs = Math.max(ledgerTimeMs, command.nowMs);
        return beginClaim(ledger, command);
      case "claimEnd":
        return endClaim(ledger, command);
    }
  }

  function save(): string {
    const saved: SavedStateMachine = {
      resources: getResourceStateData(resources),
      claims: [...ledger.claims],
      ledgerTimeMs,
    };
    return JSON.stringify(saved);
  }

  function restore(data: string): void {
    if (data === "") return;
    const saved = JSON.parse(data) as SavedStateMachine;
    resources = parseResourceStateData(saved.resources);
    ledger = { claims: new Map(saved.claims), windowMs: claimWindowMs };
    ledgerTimeMs = saved.ledgerTimeMs;
  }

  return {
    getResources: () => resources,
    getLedgerTimeMs: () => ledgerTimeMs,
    peekClaim: (claim) => peekClaim(ledger, claim),
    apply,
    save,
    restore,
  };
}
