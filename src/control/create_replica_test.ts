import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { createLogger } from "../logs/index.ts";
import { createMetrics } from "../metrics/index.ts";
import {
  DEFAULT_QUORUM_TIMING,
  type Member,
  type QuorumMessage,
} from "../quorum/index.ts";
import type { QuorumStorage } from "../storage/index.ts";
import {
  createReplica,
  type CreateReplicaOptions,
  type Replica,
} from "./create_replica.ts";

const self: Member = { id: "vm-1.0", vm: "vm-1", address: "a", role: "voter" };

interface FakeDisk extends QuorumStorage {
  full: boolean;
  syncs: number;
}

function createFakeDisk(): FakeDisk {
  const disk: FakeDisk = {
    full: false,
    syncs: 0,
    identity: {
      formatVersion: 1,
      fleetId: "trial",
      vm: self.vm,
      replicaId: self.id,
      clusterId: "c",
    },
    stored: {
      hard: { term: 0, votedFor: null },
      snapshot: { meta: { index: 0, term: 0, members: [self] }, data: "" },
      log: [],
      tornBytes: 0,
    },
    getLogBytes: () => 0,
    async append() {
      await new Promise((resolve) => setTimeout(resolve, 2));
      if (disk.full) {
        throw Object.assign(new Error("No space"), { code: "ENOSPC" });
      }
      disk.syncs += 1;
    },
    saveSnapshot: () => Promise.resolve(),
    readSnapshot: () => Promise.resolve(undefined),
    setClusterId: () => Promise.resolve(),
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
  return disk;
}

function startReplica(
  disk: QuorumStorage,
  applied: string[],
  options: Partial<CreateReplicaOptions> = {},
): Replica {
  return createReplica({
    storage: disk,
    timing: {
      ...DEFAULT_QUORUM_TIMING,
      electionTimeoutMs: 50,
      electionJitterMs: 10,
    },
    snapshotEntries: 1_000,
    apply: (body) => applied.push(body),
    save: () => "",
    restore: () => {},
    send: () => {},
    sendSnapshot: () => {},
    onRoleChange: () => {},
    onFatal: (error) => assert.unreachable(String(error)),
    log: createLogger({ program: "test", write: () => {} }),
    metrics: createMetrics(),
    now: () => performance.now(),
    random: () => 0.5,
    ...options,
  });
}

async function waitForLeadership(replica: Replica): Promise<void> {
  while (!replica.hasLease()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

async function getRejection(promise: Promise<unknown>): Promise<Error> {
  try {
    await promise;
  } catch (error) {
    return error as Error;
  }
  throw new Error("The promise did not reject");
}

test("concurrent proposals share a sync and are applied in order", async () => {
  const disk = createFakeDisk();
  const applied: string[] = [];
  await using replica = startReplica(disk, applied);
  await waitForLeadership(replica);
  const before = disk.syncs;
  const bodies = Array.from({ length: 100 }, (_v, at) => `body ${at}`);
  await Promise.all(bodies.map((body) => replica.propose(body)));
  assert.equal(applied, bodies);
  assert.ok(disk.syncs - before <= 3);
});

test("a full disk rejects writes, keeps accepted ones, and recovers when freed", async () => {
  const disk = createFakeDisk();
  const applied: string[] = [];
  await using replica = startReplica(disk, applied);
  await waitForLeadership(replica);
  await replica.propose("before");
  disk.full = true;
  // Guards against a proposer that waits until the disk has space again.
  const undecided = await getRejection(replica.propose("while"));
  assert.match(undecided.message, /disk is full/);
  assert.ok(replica.isDiskFull());
  const refused = await getRejection(replica.propose("refused"));
  assert.is(refused.name, "ProposalRefusedError");
  assert.equal(applied, ["before"]);
  disk.full = false;
  while (replica.isDiskFull()) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  await replica.propose("after");
  // The undecided proposal was in the log and is applied; the rejected one is not.
  assert.equal(applied, ["before", "while", "after"]);
});

// Guards against a process that ends because descriptors or memory are short for a
// moment: only a full disk was tried again.
for (const code of ["EMFILE", "ENFILE", "ENOMEM"]) {
  test(`a snapshot that fails with ${code} is saved once it can be`, async () => {
    const disk = createFakeDisk();
    const fatal: unknown[] = [];
    let failures = 1;
    let saved = 0;
    const saveSnapshot = async () => {
      await Promise.resolve();
      if (failures-- > 0) throw Object.assign(new Error(code), { code });
      saved += 1;
    };
    const applied: string[] = [];
    await using replica = startReplica({ ...disk, saveSnapshot }, applied, {
      snapshotEntries: 2,
      onFatal: (error) => void fatal.push(error),
    });
    await waitForLeadership(replica);
    await replica.propose("first");
    await until("the write fails", () => failures === 0 || fatal.length > 0);
    assert.not(replica.isDiskFull());
    await until("it is saved", () => saved > 0 || fatal.length > 0);
    assert.equal(fatal, []);
    await replica.whenIdle();
    await replica.propose("second");
    assert.equal(applied, ["first", "second"]);
  });
}

// What a failed write-back leaves on the disk is unknown, so it isn't tried again.
test("a sync that fails with EIO ends the process", async () => {
  const fatal: unknown[] = [];
  const append = () =>
    Promise.reject(Object.assign(new Error("EIO"), { code: "EIO" }));
  await using _replica = startReplica({ ...createFakeDisk(), append }, [], {
    onFatal: (error) => void fatal.push(error),
  });
  await until("it ends", () => fatal.length > 0);
  assert.match(String(fatal[0]), /EIO/);
});

// Guards against a vote that a replica forgets: it stopped before its write had
// succeeded, and answered nevertheless.
test("a replica that stops while its disk is full answers nothing it hasn't stored", async () => {
  const disk = createFakeDisk();
  const others = ["vm-2.0", "vm-3.0"];
  const members = [
    self,
    ...others.map((id): Member => ({ ...self, id, vm: id })),
  ];
  const meta = { index: 0, term: 0, members };
  const stored = { ...disk.stored, snapshot: { meta, data: "" } };
  disk.full = true;
  const failing = Object.create(disk, {
    stored: { value: stored },
  }) as FakeDisk;
  const sent: QuorumMessage[] = [];
  {
    await using replica = startReplica(failing, [], {
      send: (message) => void sent.push(message),
      timing: { ...DEFAULT_QUORUM_TIMING, electionTimeoutMs: 1 },
      processStartedMs: performance.now() - 60_000,
    });
    replica.deliver({
      from: others[0],
      to: self.id,
      term: 7,
      body: {
        type: "voteRequest",
        preVote: false,
        lastIndex: 0,
        lastTerm: 0,
        transfer: true,
      },
    });
    await until("the write fails", () => replica.isDiskFull());
    assert.is(replica.getState().votedFor, others[0]);
  }
  assert.is(disk.syncs, 0);
  const answers = sent.filter(({ body }) =>
    body.type === "voteResponse" && body.granted && !body.preVote
  );
  assert.equal(answers, []);
});

// A snapshot that wasn't saved must not be reported as saved.
test("a replica that stops while its disk is full reports no saved snapshot", async () => {
  const lines: string[] = [];
  const disk = createFakeDisk();
  const saveSnapshot = () =>
    Promise.reject(Object.assign(new Error("full"), { code: "ENOSPC" }));
  {
    await using replica = startReplica({ ...disk, saveSnapshot }, [], {
      snapshotEntries: 2,
      log: createLogger({
        program: "test",
        write: (line) => void lines.push(line),
      }),
    });
    await waitForLeadership(replica);
    await replica.propose("first");
    await until("the write fails", () => replica.isDiskFull());
  }
  assert.not(lines.some((line) => line.includes("CL1104")));
});

// Guards against gateways that reconnect to a new leader and cause one quorum
// round per read: this filled the members' queues, and the leader lost leadership.
test("concurrent reads without a lease share one quorum round", async () => {
  const others = ["vm-2.0", "vm-3.0"];
  const members = [
    self,
    ...others.map((id): Member => ({ ...self, id, vm: id })),
  ];
  const disk = createFakeDisk();
  const meta = { index: 0, term: 0, members };
  const stored = { ...disk.stored, snapshot: { meta, data: "" } };
  let appends = 0;
  const send = (message: QuorumMessage) => {
    const { body, term } = message;
    if (body.type === "appendRequest") appends += 1;
    if (body.type !== "voteRequest") return;
    replica.deliver({
      from: message.to,
      to: message.from,
      term,
      body: { type: "voteResponse", preVote: body.preVote, granted: true },
    });
  };
  await using replica = startReplica({ ...disk, stored }, [], { send });
  await until(
    "the replica becomes leader",
    () => replica.getState().role === "leader",
  );
  await replica.whenIdle();
  appends = 0;
  const reads = Array.from({ length: 200 }, () => replica.confirmRead());
  reads.forEach((read) => read.catch(() => {}));
  await replica.whenIdle();
  assert.ok(appends <= 2 * others.length, `${appends} messages`);
});

test.run();
