/**
 * A seeded run of the real step functions under faults, with what must hold
 * checked at every step.
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
  type Sabotage,
  type ScheduleReplica,
} from "./schedule_replica.ts";

/** Options of {@link runSchedule}. */
export interface RunScheduleOptions {
  readonly seed: number;
  readonly replicas?: number;
  /** Virtual time, in ms, with faults. */
  readonly faultMs?: number;
  /** Virtual time, in ms, without, at the end of which all must agree. */
  readonly calmMs?: number;
  /** A fault put into the program, which the run must then catch. */
  readonly sabotage?: Sabotage;
}

/** What a run counted. */
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

/** Something that must hold did not. */
export class ScheduleViolation extends Error {
  constructor(seed: number, what: string) {
    super(`Seed ${seed}: ${what}`);
  }
}

interface Flying {
  readonly dueMs: number;
  readonly message: QuorumMessage;
}

interface Node {
  replica: ScheduleReplica;
  cutUntilMs: number;
  frozenUntilMs: number;
  syncDueMs: number;
  readonly rate: number;
  readonly offsetMs: number;
  nextTickMs: number;
}

interface Pending {
  readonly command: Command;
  index: number;
  term: number;
}

const STEP_MS = 2;
const TICK_MS = 25;

/** Runs one schedule; throws a {@link ScheduleViolation} where it breaks. */
export function runSchedule(options: RunScheduleOptions): ScheduleReport {
  const { seed, replicas = 3, faultMs = 30_000, calmMs = 8_000, sabotage } =
    options;
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
  let flying: Flying[] = [];
  const leaders = new Map<number, string>();
  const canonical = new Map<number, string>();
  const states = new Map<number, string>();
  const pending = new Map<number, Pending>();
  const reads = new Map<number, number>();
  const answers = new Map<string, string>();
  const granted = new Map<string, string>();
  const resend: ChangeCommand[] = [];
  let highestCommitted = 0;
  let highestAnswered = 0;

  function fail(what: string): never {
    throw new ScheduleViolation(seed, what);
  }

  const vms = Array.from({ length: replicas }, (_v, at) => `vm-${at + 1}`);
  const founders: Member[] = vms.map((vm) => ({
    id: `${vm}.0`,
    vm,
    address: vm,
    role: "voter",
  }));
  const nodes: Node[] = vms.map((vm) => makeNode(vm));

  function makeNode(vm: string): Node {
    const node = {
      cutUntilMs: 0,
      frozenUntilMs: 0,
      syncDueMs: 0,
      // Clocks run up to 7 in 100 fast or slow.
      rate: 0.93 + random.number() * 0.14,
      offsetMs: random.number() * 1e6,
      nextTickMs: 0,
    } as Node;
    node.replica = makeReplica(node, { vm, id: `${vm}.0`, members: founders });
    return node;
  }

  function makeReplica(
    node: Node,
    of: { vm: string; id: string; members: readonly Member[] },
  ): ScheduleReplica {
    return createScheduleReplica({
      ...of,
      random,
      sabotage,
      snapshotEntries: 300,
      getLocalMs: () => node.offsetMs + timeMs * node.rate,
      listener: {
        send,
        applied: (entry, result) => takeApplied(of.id, entry, result),
        accepted(proposalId, index, term) {
          const proposal = pending.get(proposalId);
          if (proposal) Object.assign(proposal, { index, term });
        },
        refused: (proposalId) => void pending.delete(proposalId),
        readReady: (readId, index) => takeRead(readId, index),
        lead(term) {
          counts.elections += 1;
          const known = leaders.get(term);
          if (known !== undefined && known !== of.id) {
            fail(`two leaders in term ${term}: ${known} and ${of.id}`);
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
      if (random.chance(lossNow())) continue;
      const slow = random.chance(0.02);
      const delayMs = slow ? random.integer(50, 400) : random.integer(1, 8);
      flying.push({ dueMs: timeMs + delayMs, message });
    }
  }

  const lossNow = () => timeMs < faultMs ? 0.03 : 0;
  const isCut = (node: Node) => timeMs < node.cutUntilMs;
  const isFrozen = (node: Node) => timeMs < node.frozenUntilMs;
  const findNode = (id: string) =>
    nodes.find((candidate) => candidate.replica.id === id);

  function deliver(): void {
    const due = flying.filter((one) => one.dueMs <= timeMs);
    flying = flying.filter((one) => one.dueMs > timeMs);
    for (const { message } of due) {
      const to = findNode(message.to);
      const from = findNode(message.from);
      const blocked = !to || isCut(to) || (from && isCut(from));
      if (blocked) continue;
      if (isFrozen(to)) {
        // The kernel keeps what comes for a stopped process.
        flying.push({ dueMs: to.frozenUntilMs, message });
        continue;
      }
      to.replica.give({ type: "message", message });
    }
  }

  function takeApplied(
    id: string,
    entry: LogEntry,
    result: unknown,
  ): void {
    const text = JSON.stringify(entry);
    const known = canonical.get(entry.index);
    if (known !== undefined && known !== text) {
      fail(`${id} applied another entry at ${entry.index}`);
    }
    canonical.set(entry.index, text);
    highestCommitted = Math.max(highestCommitted, entry.index);
    const outcome = JSON.stringify(result) ?? "";
    const key = entry.index;
    const before = states.get(key);
    if (before !== undefined && before !== outcome) {
      fail(`${id} came to another result at ${entry.index}`);
    }
    states.set(key, outcome);
    settle(entry, result);
  }

  function settle(entry: LogEntry, result: unknown): void {
    for (const [proposalId, proposal] of pending) {
      if (proposal.index !== entry.index) continue;
      pending.delete(proposalId);
      if (proposal.term !== entry.term) continue;
      highestAnswered = Math.max(highestAnswered, entry.index);
      takeAnswer(proposal.command, result);
    }
  }

  function takeAnswer(command: Command, result: unknown): void {
    if (command.type === "change") {
      const answer = JSON.stringify(result);
      const first = answers.get(command.changeId);
      if (first !== undefined && first !== answer) {
        fail(`change ${command.changeId} got two answers`);
      }
      answers.set(command.changeId, answer);
      if ((result as ChangeResult).accepted) counts.changesAccepted += 1;
      return;
    }
    if (command.type !== "claimBegin") return;
    if ((result as ClaimVerdict).verdict !== "granted") return;
    const holder = granted.get(command.key);
    if (holder !== undefined) {
      fail(
        `claim ${command.key} was granted to ${holder} and ${command.holder}`,
      );
    }
    granted.set(command.key, command.holder);
    counts.claimsGranted += 1;
  }

  function takeRead(readId: number, index: number): void {
    const least = reads.get(readId);
    reads.delete(readId);
    if (least === undefined) return;
    counts.reads += 1;
    if (index < least) fail(`a read saw ${index}, but ${least} was answered`);
  }

  function propose(node: Node, command: Command): void {
    const proposalId = nextId++;
    pending.set(proposalId, { command, index: 0, term: 0 });
    const body = JSON.stringify(command);
    node.replica.give({ type: "propose", proposalId, body });
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

  function work(): void {
    const node = random.pick(nodes);
    if (isFrozen(node) || !random.chance(0.3)) return;
    if (random.chance(0.2)) {
      const readId = nextId++;
      reads.set(readId, highestAnswered);
      node.replica.give({ type: "read", readId });
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
    const again = resend.length > 0 && random.chance(0.3);
    const change = again ? random.pick(resend) : makeChange(node);
    if (!again) resend.push(change);
    if (resend.length > 30) resend.shift();
    propose(node, change);
    // Two operators race with the same revision.
    if (random.chance(0.1)) {
      propose(random.pick(nodes), {
        ...change,
        changeId: `change-${nextId++}`,
        operator: "operator-3",
      });
    }
  }

  function lead(node: Node): void {
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
    node.replica.give({ type: "changeMembers", proposalId, members: next });
  }

  // A disk may be lost only while a quorum of sound ones remains.
  function isWhole(): boolean {
    const leader = nodes.find((node) =>
      node.replica.getState().role === "leader" && !isCut(node) &&
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

  let wipeSerial = 1;
  function hurt(): void {
    const node = random.pick(nodes);
    if (random.chance(0.002)) crash(node);
    // All may lose power in one moment: nothing is left but what was synced.
    if (random.chance(0.0004)) {
      nodes.forEach((one) => crash(one, { losesWrites: true }));
    }
    if (random.chance(0.001)) {
      counts.cuts += 1;
      node.cutUntilMs = timeMs + random.integer(100, 4_000);
    }
    if (random.chance(0.001)) {
      counts.freezes += 1;
      node.frozenUntilMs = timeMs + random.integer(100, 3_000);
    }
    if (random.chance(0.004) && isWhole()) {
      counts.wipes += 1;
      const { vm } = node.replica;
      const same = sabotage === "wiped_same_id";
      const id = same ? node.replica.id : `${vm}.${wipeSerial++}`;
      const members = same ? founders : [];
      node.replica = makeReplica(node, { vm, id, members });
    }
    if (random.chance(0.001)) {
      const { id } = random.pick(nodes).replica;
      node.replica.give({ type: "transfer", to: id });
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
      fail(`leases of ${holders.map((node) => node.replica.id).join(" and ")}`);
    }
  }

  const entries = [1, 2].map(() =>
    createScheduleEntry({ random, fail, sabotage })
  );

  function runStep(): void {
    timeMs += STEP_MS;
    deliver();
    if (timeMs < faultMs) hurt();
    for (const node of nodes) {
      if (isFrozen(node)) continue;
      if (timeMs >= node.syncDueMs) {
        node.replica.sync();
        node.syncDueMs = timeMs + random.integer(1, 12);
      }
      if (timeMs >= node.nextTickMs) {
        node.nextTickMs = timeMs + TICK_MS;
        node.replica.give({ type: "tick" });
        lead(node);
      }
    }
    work();
    const served = random.pick(nodes);
    if (served.replica.getState().role === "leader") {
      random.pick(entries).offer(served.replica.getMachine().getResources());
    }
    checkLeases();
  }

  while (timeMs < faultMs + calmMs) runStep();
  checkAgreement();

  function checkAgreement(): void {
    const leader = nodes.find((node) =>
      hasLeaderLease(node.replica.getState(), {
        nowMs: node.replica.getLocalMs(),
      })
    );
    if (!leader) fail("nobody leads after the calm");
    const { commitIndex } = leader.replica.getState();
    if (commitIndex < highestCommitted) fail("a committed entry was lost");
    const state = leader.replica.getMachine().getResources();
    for (const [changeId, answer] of answers) {
      const kept = state.answered.get(changeId);
      if (JSON.stringify(kept?.result) !== answer) {
        fail(`the answer to change ${changeId} was lost`);
      }
    }
    counts.committed = commitIndex;
    if (!isWhole()) fail("the membership was not repaired in the calm");
  }

  return counts;
}
