/**
 * The network of a schedule of losses: it delays and loses messages, and checks the votes
 * that it carries.
 *
 * @module
 */

import type { QuorumMessage } from "../src/quorum/index.ts";
import type { LossMachine } from "./loss_machine.ts";
import type { RandomSource } from "./random_source.ts";

/** Options of {@link createLossNetwork}. */
export interface LossNetworkOptions {
  readonly random: RandomSource;
  /** Virtual time, in ms. */
  readonly now: () => number;
  readonly machines: readonly LossMachine[];
  readonly fail: (what: string) => never;
}

/** Carries messages between the machines. */
export interface LossNetwork {
  send(message: QuorumMessage): void;
  /** Delivers the messages that are due. */
  deliver(): void;
}

const LOSS_PROBABILITY = 0.005;

/** Longest delay of a message, in ms. */
const MAX_DELAY_MS = 6;

/** Creates the network. */
export function createLossNetwork(options: LossNetworkOptions): LossNetwork {
  const { random, now, machines, fail } = options;
  const votes = new Map<string, string>();
  let inFlight: { dueMs: number; message: QuorumMessage }[] = [];

  function checkVote({ from, to, term, body }: QuorumMessage): void {
    if (body.type !== "voteResponse" || body.preVote || !body.granted) return;
    const earlier = votes.get(`${from} ${term}`) ?? to;
    if (earlier !== to) {
      fail(`${from} voted for ${earlier} and ${to} in term ${term}`);
    }
    votes.set(`${from} ${term}`, to);
  }

  function isCut({ from }: QuorumMessage, to: LossMachine): boolean {
    const sender = machines.find((one) => one.getReplica().id === from);
    return sender !== undefined && sender.getPartition() !== to.getPartition();
  }

  return {
    send(message) {
      checkVote(message);
      if (random.chance(LOSS_PROBABILITY)) return;
      const dueMs = now() + random.integer(1, MAX_DELAY_MS);
      inFlight.push({ dueMs, message });
    },
    deliver() {
      const due = inFlight.filter(({ dueMs }) => dueMs <= now());
      inFlight = inFlight.filter(({ dueMs }) => dueMs > now());
      for (const { message } of due) {
        const to = machines.find((one) => one.getReplica().id === message.to);
        if (!to || to.hasGone() || isCut(message, to)) continue;
        if (to.isRunning()) to.deliver(message);
        else if (now() < to.getFrozenUntilMs()) {
          // The kernel buffers messages for a suspended process.
          inFlight.push({ dueMs: to.getFrozenUntilMs(), message });
        }
      }
    },
  };
}
