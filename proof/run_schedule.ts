/**
 * A seeded simulation of the real step functions under faults that checks the
 * invariants at every step.
 *
 * @module
 */

import type { ClaimVerdict } from "../src/claims/index.ts";
import {
  hasLeaderLease,
  type LogEntry,
  type Member,
  planMembersChange,
  type QuorumMessage,
} from "../src/quorum/index.ts";
import type { ChangeCommand, ChangeResult } from "../src/resources/index.ts";
import type { Command } from "../src/control/state_machine.ts";
import { createRandomSource } from "./random_source.ts";
import { createScheduleEntry } from "./schedule_entry.ts";
import {
  createScheduleReplica,
  type InjectedFault,
  type ScheduleReplica,
} from "./schedule_replica.ts";

/** Options of {@link runSchedule}. */
export interface RunScheduleOptions {
  readonly seed: number;
  readonly replicas?: number;
  /** Virtual time, in ms, in which faults are injected. */
  readonly faultMs?: number;
  /** Virtual time, in ms, without faults, after which all replicas must agree. */
  readonly recoveryMs?: number;
  /** A fault injected into the program, which the run must detect. */
  readonly injectedFault?: InjectedFault;
}

/** Counts of one run. */
export interface ScheduleReport {
  readonly elections: number;
  readonly committed: number;
  readonly changesAccepted: number;
  readonly claimsGranted: number;
  readonly crashes: number;
  readonly wipes: number;
  readonly cuts: number;
  readonly freezes: number;
  readonly snapshots: number;
  readonly reads: number;
}

/** A violated invariant. */
export class ScheduleViolation extends Error {
  constructor(seed: number, what: string) {
    super(`Seed ${seed}: ${what}`);
  }
}

interface InFlightMessage {
  readonly dueMs: number;
  readonly message: QuorumMessage;
}

interface Node {
  replica: ScheduleReplica;
  partitionedUntilMs: number;
  frozenUntilMs: number;
  syncDueMs: number;
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  nextTickMs: number;
}

interface Proposal {
  readonly command: Command;
  index: number;
  term: number;
}

const STEP_MS = 2;
const TICK_MS = 25;

/** Runs one schedule; throws a {@link ScheduleViolation} if an invariant is violated. */
export function runSchedule(options: RunScheduleOptions): ScheduleReport {
  const {
    seed,
    replicas = 3,
    faultMs = 30_000,
    recoveryMs = 8_000,
    injectedFault,
  } = options;
  const random = createRandomSource(seed);
  const counts = {
    elections: 0,
    committed: 0,
    changesAccepted: 0,
    claimsGranted: 0,
    crashes: 0,
    wipes: 0,
    cuts: 0,
    freezes: 0,
    snapshots: 0,
    reads: 0,
  };
  let timeMs = 0;
  let nextId = 1;
  let inFlightMessages: InFlightMessage[] = [];
  const leaders = new Map<number, string>();
  const appliedEntries = new Map<number, string>();
  const appliedResults = new Map<number, string>();
  const proposals = new Map<number, Proposal>();
  const pendingReads = new Map<number, number>();
  const changeAnswers = new Map<string, string>();
  const claimHolders = new Map<string, string>();
  const recentChanges: ChangeCommand[] = [];
  let highestCommitted = 0;
  let highestAcknowledged = 0;

  function fail(what: string): never {
    throw new ScheduleViolation(seed, what);
  }

  const vms = Array.from({ length: replicas }, (_v, at) => `vm-${at + 1}`);
  const initialMembers: Member[] = vms.map((vm) => ({
    id: `${vm}.0`,
    vm,
    address: vm,
    role: "voter",
  }));
  const nodes: Node[] = vms.map((vm) => makeNode(vm));

  function makeNode(vm: string): Node {
    const node = {
      partitionedUntilMs: 0,
      frozenUntilMs: 0,
      syncDueMs: 0,
      // Clocks run up to 7 percent fast or slow.
      clockRate: 0.93 + random.number() * 0.14,
      clockOffsetMs: random.number() * 1e6,
      nextTickMs: 0,
    } as Node;
    node.replica = makeReplica(node, {
      vm,
      id: `${vm}.0`,
      members: initialMembers,
    });
    return node;
  }

  function makeReplica(
    node: Node,
    of: { vm: string; id: string; members: readonly Member[] },
  ): ScheduleReplica {
    return createScheduleReplica({
      ...of,
      random,
      injectedFault,
      snapshotEntries: 300,
      getLocalMs: () => node.clockOffsetMs + timeMs * node.clockRate,
      listener: {
        send,
        applied: (entry, result) => checkApplied(of.id, entry, result),
        accepted(proposalId, index, term) {
          const proposal = proposals.get(proposalId);
          if (proposal) Object.assign(proposal, { index, term });
        },
        refused: (proposalId) => void proposals.delete(proposalId),
        readReady: (readId, index) => checkRead(readId, index),
        becameLeader(term) {
          counts.elections += 1;
          const earlier = leaders.get(term);
          if (earlier !== undefined && earlier !== of.id) {
            fail(`two leaders in term ${term}: ${earlier} and ${of.id}`);
          }
          leaders.set(term, of.id);
        },
      },
    });
  }

  function send(message: QuorumMessage): void {
    if (message.body.type === "snapshot") counts.snapshots += 1;
    const copies = random.chance(0.03) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random.chance(getLossProbability())) continue;
      const slow = random.chance(0.02);
      const delayMs = slow ? random.integer(50, 400) : random.integer(1, 8);
      inFlightMessages.push({ dueMs: timeMs + delayMs, message });
    }
  }

  const getLossProbability = () => timeMs < faultMs ? 0.03 : 0;
  const isPartitioned = (node: Node) => timeMs < node.partitionedUntilMs;
  const isFrozen = (node: Node) => timeMs < node.frozenUntilMs;
  const findNode = (id: string) =>
    nodes.find((candidate) => candidate.replica.id === id);

  function deliver(): void {
    const due = inFlightMessages.filter((one) => one.dueMs <= timeMs);
    inFlightMessages = inFlightMessages.filter((one) => one.dueMs > timeMs);
    for (const { message } of due) {
      const to = findNode(message.to);
      const from = findNode(message.from);
      const blocked = !to || isPartitioned(to) || (from && isPartitioned(from));
      if (blocked) continue;
      if (isFrozen(to)) {
        // The kernel buffers messages for a stopped process.
        inFlightMessages.push({ dueMs: to.frozenUntilMs, message });
        continue;
      }
      to.replica.handle({ type: "message", message });
    }
  }

  function checkApplied(
    id: string,
    entry: LogEntry,
    result: unknown,
  ): void {
    const text = JSON.stringify(entry);
    const earlier = appliedEntries.get(entry.index);
    if (earlier !== undefined && earlier !== text) {
      fail(`${id} applied a different entry at ${entry.index}`);
    }
    appliedEntries.set(entry.index, text);
    highestCommitted = Math.max(highestCommitted, entry.index);
    const outcome = JSON.stringify(result) ?? "";
    const key = entry.index;
    const before = appliedResults.get(key);
    if (before !== undefined && before !== outcome) {
      fail(`${id} computed a different result at ${entry.index}`);
    }
    appliedResults.set(key, outcome);
    resolveProposals(entry, result);
  }

  function resolveProposals(entry: LogEntry, result: unknown): void {
    for (const [proposalId, proposal] of proposals) {
      if (proposal.index !== entry.index) continue;
      proposals.delete(proposalId);
      if (proposal.term !== entry.term) continue;
      highestAcknowledged = Math.max(highestAcknowledged, entry.index);
      checkAnswer(proposal.command, result);
    }
  }

  function checkAnswer(command: Command, result: unknown): void {
    if (command.type === "change") {
      const answer = JSON.stringify(result);
      const first = changeAnswers.get(command.changeId);
      if (first !== undefined && first !== answer) {
        fail(`change ${command.changeId} got two different answers`);
      }
      changeAnswers.set(command.changeId, answer);
      if ((result as ChangeResult).accepted) counts.changesAccepted += 1;
      return;
    }
    if (command.type !== "claimBegin") return;
    if ((result as ClaimVerdict).verdict !== "granted") return;
    const holder = claimHolders.get(command.key);
    if (holder !== undefined) {
      fail(
        `claim ${command.key} was granted to ${holder} and ${command.holder}`,
      );
    }
    claimHolders.set(command.key, command.holder);
    counts.claimsGranted += 1;
  }

  function checkRead(readId: number, index: number): void {
    const least = pendingReads.get(readId);
    pendingReads.delete(readId);
    if (least === undefined) return;
    counts.reads += 1;
    if (index < least) fail(`read index ${index} < acknowledged ${least}`);
  }

  function propose(node: Node, command: Command): void {
    const proposalId = nextId++;
    proposals.set(proposalId, { command, index: 0, term: 0 });
    const body = JSON.stringify(command);
    node.replica.handle({ type: "propose", proposalId, body });
  }

  function makeChange(node: Node): ChangeCommand {
    const state = node.replica.getMachine().getResources();
    const name = `account-${random.integer(1, 4)}`;
    const current = state.resources.get(`clientAccount/${name}`);
    return {
      type: "change",
      changeId: `change-${nextId++}`,
      operator: `operator-${random.integer(1, 2)}`,
      action: current && random.chance(0.1) ? "delete" : "put",
      kind: "clientAccount",
      name,
      spec: { keySha256: ["0".repeat(64)], weight: random.integer(1, 1_000) },
      expectedRevision: current?.revision ?? 0,
    };
  }

  function submitOperation(): void {
    const node = random.pick(nodes);
    if (isFrozen(node) || !random.chance(0.3)) return;
    if (random.chance(0.2)) {
      const readId = nextId++;
      pendingReads.set(readId, highestAcknowledged);
      node.replica.handle({ type: "read", readId });
      return;
    }
    if (random.chance(0.3)) {
      propose(node, {
        type: "claimBegin",
        clientAccount: "dock",
        key: `key-${random.integer(1, 400)}`,
        requestHash: "h",
        holder: `entry-${random.integer(1, 3)}/${nextId++}`,
        nowMs: timeMs,
      });
      return;
    }
    const isResent = recentChanges.length > 0 && random.chance(0.3);
    const change = isResent ? random.pick(recentChanges) : makeChange(node);
    if (!isResent) recentChanges.push(change);
    if (recentChanges.length > 30) recentChanges.shift();
    propose(node, change);
    // Another operator sends a change that expects the same revision.
    if (random.chance(0.1)) {
      propose(random.pick(nodes), {
        ...change,
        changeId: `change-${nextId++}`,
        operator: "operator-3",
      });
    }
  }

  function proposeMembers(node: Node): void {
    const state = node.replica.getState();
    if (state.role !== "leader" || isFrozen(node)) return;
    const members = planMembersChange(state, {
      controlVms: vms,
      maxLagEntries: 8,
    });
    const joining = nodes.find((other) =>
      !state.members.some((member) => member.id === other.replica.id)
    );
    const next = members ?? (joining && [
      ...state.members,
      {
        id: joining.replica.id,
        vm: joining.replica.vm,
        address: joining.replica.vm,
        role: "learner" as const,
      },
    ]);
    if (!next) return;
    const proposalId = nextId++;
    node.replica.handle({ type: "changeMembers", proposalId, members: next });
  }

  // Disks are wiped only while all replicas are voters and a leader holds its lease, so
  // that a quorum of intact disks remains.
  function hasFullMembership(): boolean {
    const leader = nodes.find((node) =>
      node.replica.getState().role === "leader" && !isPartitioned(node) &&
      !isFrozen(node)
    );
    if (!leader) return false;
    const state = leader.replica.getState();
    return state.membersIndex <= state.commitIndex &&
      state.members.length === nodes.length &&
      nodes.every((node) =>
        state.members.some((member) =>
          member.id === node.replica.id && member.role === "voter"
        )
      ) && hasLeaderLease(state, { nowMs: leader.replica.getLocalMs() });
  }

  function crash(node: Node, options?: { losesWrites: boolean }): void {
    counts.crashes += 1;
    node.replica.crash(options);
    node.frozenUntilMs = timeMs + random.integer(0, 1_500);
  }

  let nextDiskNumber = 1;
  function injectFaults(): void {
    const node = random.pick(nodes);
    if (random.chance(0.002)) crash(node);
    // All replicas may lose power at once: only synced writes survive.
    if (random.chance(0.0004)) {
      nodes.forEach((one) => crash(one, { losesWrites: true }));
    }
    if (random.chance(0.001)) {
      counts.cuts += 1;
      node.partitionedUntilMs = timeMs + random.integer(100, 4_000);
    }
    if (random.chance(0.001)) {
      counts.freezes += 1;
      node.frozenUntilMs = timeMs + random.integer(100, 3_000);
    }
    if (random.chance(0.004) && hasFullMembership()) {
      counts.wipes += 1;
      const { vm } = node.replica;
      const keepsId = injectedFault === "wiped_same_id";
      const id = keepsId ? node.replica.id : `${vm}.${nextDiskNumber++}`;
      const members = keepsId ? initialMembers : [];
      node.replica = makeReplica(node, { vm, id, members });
    }
    if (random.chance(0.001)) {
      const { id } = random.pick(nodes).replica;
      node.replica.handle({ type: "transfer", to: id });
    }
  }

  function checkLeases(): void {
    const holders = nodes.filter((node) =>
      !isFrozen(node) &&
      hasLeaderLease(node.replica.getState(), {
        nowMs: node.replica.getLocalMs(),
      })
    );
    if (holders.length > 1) {
      fail(
        `more than one lease: ${
          holders.map((node) => node.replica.id).join(" and ")
        }`,
      );
    }
  }

  const entries = [1, 2].map(() =>
    createScheduleEntry({ random, fail, injectedFault })
  );

  function runStep(): void {
    timeMs += STEP_MS;
    deliver();
    if (timeMs < faultMs) injectFaults();
    for (const node of nodes) {
      if (isFrozen(node)) continue;
      if (timeMs >= node.syncDueMs) {
        node.replica.sync();
        node.syncDueMs = timeMs + random.integer(1, 12);
      }
      if (timeMs >= node.nextTickMs) {
        node.nextTickMs = timeMs + TICK_MS;
        node.replica.handle({ type: "tick" });
        proposeMembers(node);
      }
    }
    submitOperation();
    const served = random.pick(nodes);
    if (served.replica.getState().role === "leader") {
      random.pick(entries).offer(served.replica.getMachine().getResources());
    }
    checkLeases();
  }

  while (timeMs < faultMs + recoveryMs) runStep();
  checkFinalState();

  function checkFinalState(): void {
    const leader = nodes.find((node) =>
      hasLeaderLease(node.replica.getState(), {
        nowMs: node.replica.getLocalMs(),
      })
    );
    if (!leader) fail("no leader after the recovery time");
    const { commitIndex } = leader.replica.getState();
    if (commitIndex < highestCommitted) fail("a committed entry was lost");
    const state = leader.replica.getMachine().getResources();
    for (const [changeId, answer] of changeAnswers) {
      const kept = state.answered.get(changeId);
      if (JSON.stringify(kept?.result) !== answer) {
        fail(`the answer to change ${changeId} was lost`);
      }
    }
    counts.committed = commitIndex;
    if (!hasFullMembership()) fail("the membership was not repaired in time");
  }

  return counts;
}
