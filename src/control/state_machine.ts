/**
 * What the log's commands are applied to: the accepted state and the claims.
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

/** Any command of the log. */
export type Command = ChangeCommand | ClaimBeginCommand | ClaimEndCommand;

/** What applying a command gives its proposer. */
export type CommandResult = ChangeResult | ClaimVerdict | boolean;

/** What has to be known of a claim to look it up. */
export type ClaimQuestion = Pick<
  ClaimBeginCommand,
  "clientAccount" | "key" | "requestHash"
>;

/** The state machine of one replica. */
export interface StateMachine {
  getResources(): ResourceState;
  /** Time of the newest claim command, in ms of the ledger's own clock. */
  getLedgerTimeMs(): number;
  /** The verdict on a claim as things stand, without recording it. */
  peek(claim: ClaimQuestion): ClaimVerdict;
  apply(body: string): CommandResult;
  save(): string;
  restore(data: string): void;
}

/** The state machine as text. */
interface SavedStateMachine {
  readonly resources: ResourceStateData;
  readonly claims: readonly (readonly [string, Claim])[];
  readonly ledgerTimeMs: number;
}

/** Options of {@link createStateMachine}. */
export interface CreateStateMachineOptions {
  /** For how long a claim is remembered, in ms. */
  readonly claimWindowMs: number;
  /** Called for each change that is accepted. */
  readonly onChange?: (change: ResourceChange) => void;
}

/**
 * Makes the state machine of a replica.
 *
 * @param options - The claims' window, and who hears of changes.
 * @returns The state machine, empty.
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
    peek: (claim) => peekClaim(ledger, claim),
    apply,
    save,
    restore,
  };
}
