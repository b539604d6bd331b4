/**
 * The retry budgets of a gateway and of a leader, as the model of a fleet drives them.
 *
 * @module
 */

import {
  createRetryLender,
  type FleetCommand,
  type RetryReport,
} from "../../src/fleet/index.ts";
import { createGatewayRetryBudget } from "../../src/gateway/create_gateway_retry_budget.ts";
import type { RetryLimits } from "../../src/retry/index.ts";

/** The fleet's limit on retries. */
export type RetryFleetLimits = RetryLimits;

/** A message of a gateway to the leader. */
export interface RetryBeat {
  readonly sentMs: number;
  readonly report: RetryReport | undefined;
}

/** The leader's answer to it. */
export interface RetryReply {
  readonly askedMs: number;
  readonly count: number;
}

/** One process of a gateway. */
export interface GatewayModel {
  readonly name: string;
  noteRequest(): void;
  spend(): boolean;
  isBeatDue(): boolean;
  takeBeat(): RetryBeat;
  handleReply(reply: RetryReply): void;
  handleWelcome(leaderName: string): void;
}

/** One term of a leader. */
export interface LeaderModel {
  readonly name: string;
  handleBeat(holder: string, beat: RetryBeat): Promise<RetryReply | undefined>;
  tick(): void;
  end(): void;
}

/** The log of the quorum, as all leaders share it. */
export interface QuorumLog {
  readonly ceilings: Map<string, number>;
  /** Resolves once a command is applied; rejects if the leader has changed. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
}

const SERVICE = "model";

let processes = 0;
let leaders = 0;

/** Creates a process that has just started. */
export function createGatewayModel(
  options: RetryFleetLimits & { readonly now: () => number },
): GatewayModel {
  let isBeatDue = false;
  let lastLeaderName = "";
  const budget = createGatewayRetryBudget({
    ...options,
    onNeeded: () => {
      isBeatDue = true;
    },
  });
  return {
    name: `process-${++processes}`,
    noteRequest: () => budget.noteRequest(SERVICE),
    spend: () => budget.spend(SERVICE) !== undefined,
    isBeatDue: () => isBeatDue,
    takeBeat() {
      isBeatDue = false;
      return {
        sentMs: options.now(),
        report: budget.takeReports()[SERVICE],
      };
    },
    handleReply: ({ count, askedMs }) =>
      budget.addLoan({ counts: { [SERVICE]: count }, askedMs }),
    handleWelcome(leaderName) {
      budget.beginSession({ isNewLeader: leaderName !== lastLeaderName });
      lastLeaderName = leaderName;
    },
  };
}

/** Creates a leader that has just been elected. */
export function createLeaderModel(
  options: RetryFleetLimits & {
    readonly quorumLog: QuorumLog;
    readonly now: () => number;
  },
): LeaderModel {
  let isLeading = true;
  const { ceilings, propose } = options.quorumLog;
  const lender = createRetryLender({
    ...options,
    getCeilings: () => ceilings,
    propose: (command) =>
      isLeading
        ? propose(command)
        : Promise.reject(new Error("not the leader")),
    hasLease: () => isLeading,
    log: () => {},
  });
  lender.beginTerm();
  return {
    name: `leader-${++leaders}`,
    async handleBeat(holder, { sentMs, report }) {
      if (!report) return undefined;
      const counts = await lender.handleReports(holder, { [SERVICE]: report });
      const count = counts[SERVICE];
      return count === undefined ? undefined : { askedMs: sentMs, count };
    },
    tick: lender.tick,
    end() {
      isLeading = false;
      lender.endTerm();
    },
  };
}
