/**
 * The retry budgets of a gateway and of a leader, as the model of a fleet drives them.
 *
 * @module
 */

import { createRetryLender } from "../../src/fleet/index.ts";
import { createGatewayRetryBudget } from "../../src/gateway/create_gateway_retry_budget.ts";

/** The fleet's limit on retries. */
export interface RetryFleetLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed beyond that in each window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** A message of a gateway to the leader. */
export interface RetryBeat {
  readonly sentMs: number;
  readonly wanted: number;
}

/** The leader's answer to it. */
export interface RetryReply {
  readonly askedMs: number;
  readonly count: number;
}

/** One process of a gateway. */
export interface GatewayModel {
  noteRequest(): void;
  spend(): boolean;
  tick(): void;
  isBeatDue(): boolean;
  takeBeat(): RetryBeat;
  handleReply(reply: RetryReply): void;
  handleWelcome(): void;
  handleGatewayCount(count: number): void;
}

/** One term of a leader. */
export interface LeaderModel {
  handleHello(vm: string): void;
  handleBeat(vm: string, beat: RetryBeat): RetryReply;
  handleGatewayLost(vm: string): void;
  tick(): void;
}

const SERVICE = "model";

/** Number of gateways that a process assumes before it knows the others. */
const DEFAULT_GATEWAY_COUNT = 20;

/** Creates a process that has just started. */
export function createGatewayModel(
  options: RetryFleetLimits & { readonly now: () => number },
): GatewayModel {
  let count = 0;
  let isBeatDue = false;
  const budget = createGatewayRetryBudget({
    ...options,
    getGatewayCount: () => count || DEFAULT_GATEWAY_COUNT,
    onExhausted: () => {
      isBeatDue = true;
    },
  });
  return {
    noteRequest: () => budget.noteRequest(SERVICE),
    spend: () => budget.spend(SERVICE) !== undefined,
    tick: () => {},
    isBeatDue: () => isBeatDue,
    takeBeat() {
      isBeatDue = false;
      const wanted = budget.getWantedLoans()[SERVICE] ?? 0;
      return { sentMs: options.now(), wanted };
    },
    handleReply: (reply) => budget.addLoan({ service: SERVICE, ...reply }),
    handleWelcome: () => {},
    handleGatewayCount(next) {
      count = next;
    },
  };
}

/** Creates a leader that has just been elected. */
export function createLeaderModel(
  options: RetryFleetLimits & {
    readonly quorumLog: Map<string, number>;
    readonly now: () => number;
  },
): LeaderModel {
  const electedMs = options.now();
  const lender = createRetryLender({
    ...options,
    getLeadershipMs: () => options.now() - electedMs,
  });
  return {
    handleHello: () => {},
    handleBeat: (_vm, { sentMs, wanted }) => ({
      askedMs: sentMs,
      count: lender.lend(SERVICE, wanted),
    }),
    handleGatewayLost: () => {},
    tick: () => {},
  };
}
