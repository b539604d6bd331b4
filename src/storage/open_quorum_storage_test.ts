import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Buffer } from "node:buffer";
import {
  appendFile,
  type FileHandle,
  mkdtemp,
  open,
  readFile,
  readlink,
  rm,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { LogEntry } from "../quorum/index.ts";
import {
  encodeFrame,
  openQuorumStorage,
  scanFrames,
  writeIdentity,
} from "./index.ts";

const test = suite<{ folder: string }>("quorum storage");

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "crowlever-"));
});

test.after.each(async ({ folder }) => {
  await rm(folder, { recursive: true });
});

const owner = { fleetId: "trial", vm: "vm-1" };
const hard = { term: 3, votedFor: "vm-2.0" };

function makeEntry(index: number, term = 1): LogEntry {
  return { index, term, kind: "command", body: `body ${index}` };
}

async function write(folder: string, indexes: readonly number[]) {
  await using storage = await openQuorumStorage({ folder, ...owner });
  for (const index of indexes) {
    await storage.append([{ hard, entries: [makeEntry(index)] }]);
  }
}

async function getOpenError(folder: string, as = owner): Promise<string> {
  try {
    await using _storage = await openQuorumStorage({ folder, ...as });
    return "";
  } catch (error) {
    return (error as Error).message;
  }
}

test("a new folder is empty and keeps its identity", async ({ folder }) => {
  let replicaId = "";
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    assert.equal(storage.stored.log, []);
    replicaId = storage.identity.replicaId;
  }
  await using reopened = await openQuorumStorage({ folder, ...owner });
  assert.is(reopened.identity.replicaId, replicaId);
});

// Guards against a vote that is forgotten: the name of a new folder lasts only once the
// folder above it is synced.
test("the folders that a new data folder is created in are synced", async ({ folder }) => {
  const handle = await open(folder, "r");
  const handles = Object.getPrototypeOf(handle) as FileHandle;
  await handle.close();
  const { sync } = handles;
  const synced = new Set<string>();
  handles.sync = async function (this: FileHandle) {
    synced.add(await readlink(`/proc/self/fd/${this.fd}`));
    await sync.call(this);
  };
  try {
    const path = join(folder, "a", "b");
    await using _storage = await openQuorumStorage({ folder: path, ...owner });
  } finally {
    handles.sync = sync;
  }
  const parents = [folder, join(folder, "a"), join(folder, "a", "b")];
  assert.equal(parents.filter((path) => !synced.has(path)), []);
});

test("appended entries are read back, and later entries replace earlier ones", async ({ folder }) => {
  await write(folder, [1, 2, 3]);
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    await storage.append([{ hard, entries: [makeEntry(2, 2)] }]);
  }
  await using storage = await openQuorumStorage({ folder, ...owner });
  const terms = storage.stored.log.map(({ index, term }) => [index, term]);
  assert.equal(terms, [[1, 1], [2, 2]]);
  assert.equal(storage.stored.hard, hard);
});

test("a tail torn at any byte is cut off, and synced entries stay", async ({ folder }) => {
  await write(folder, [1, 2]);
  const path = join(folder, "log-1");
  const whole = await readFile(path);
  const torn = encodeFrame("a record that was being written");
  for (let size = 1; size < torn.length; size += 5) {
    await writeFile(path, Buffer.concat([whole, torn.subarray(0, size)]));
    await using storage = await openQuorumStorage({ folder, ...owner });
    assert.is(storage.stored.tornBytes, size);
    assert.is(storage.stored.log.length, 2);
  }
});

test("zeros after the last record are a torn tail", async ({ folder }) => {
  await write(folder, [1]);
  await appendFile(join(folder, "log-1"), Buffer.alloc(4_096));
  await using storage = await openQuorumStorage({ folder, ...owner });
  assert.is(storage.stored.log.length, 1);
});

test("any other corruption is rejected with file and offset", async ({ folder }) => {
  await write(folder, [1, 2, 3]);
  const path = join(folder, "log-1");
  const bytes = await readFile(path);
  const first = scanFrames(bytes, { file: path }).payloads[0].length + 12;
  for (const at of [0, 5, 9, 20, first + 3, first + 30]) {
    const damaged = Buffer.from(bytes);
    damaged[at] ^= 0x40;
    await writeFile(path, damaged);
    const message = await getOpenError(folder);
    assert.match(message, /log-1 is damaged at offset \d+/);
    assert.match(message, new RegExp(`offset ${at < first ? 0 : first}\\b`));
  }
});

// Guards against an operator who starts the replica again and again, or empties the
// folders of all.
test("a start that is refused for damage says what to do", async ({ folder }) => {
  await write(folder, [1, 2]);
  const path = join(folder, "log-1");
  const bytes = await readFile(path);
  bytes[20] ^= 0x40;
  await writeFile(path, bytes);
  const message = await getOpenError(folder);
  assert.match(message, /log-1 is damaged at offset 0: /);
  assert.match(message, /Keep a copy of the data folder/);
  assert.match(message, /a majority of the other replicas/);
});

test("a corrupt snapshot is rejected", async ({ folder }) => {
  const meta = { index: 5, term: 1, members: [] };
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    await storage.saveSnapshot({
      snapshot: { meta, data: "state" },
      hard,
      entries: [],
    });
  }
  const path = join(folder, "snapshot");
  const bytes = await readFile(path);
  bytes[bytes.length - 1] ^= 1;
  await writeFile(path, bytes);
  assert.match(await getOpenError(folder), /snapshot is damaged/);
});

test("a snapshot replaces the log that it covers", async ({ folder }) => {
  await write(folder, [1, 2, 3]);
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    const meta = { index: 2, term: 1, members: [] };
    const entries = [makeEntry(3)];
    await storage.saveSnapshot({
      snapshot: { meta, data: "two" },
      hard,
      entries,
    });
    await storage.append([{ hard, entries: [makeEntry(4)] }]);
  }
  await using storage = await openQuorumStorage({ folder, ...owner });
  assert.is(storage.stored.snapshot?.data, "two");
  assert.equal(storage.stored.log.map((entry) => entry.index), [3, 4]);
});

// A crash after a received snapshot is written, but before the new log is,
// leaves the old log.
test("a log that conflicts with a newer snapshot is discarded", async ({ folder }) => {
  await write(folder, [1, 2, 3]);
  const meta = JSON.stringify({ index: 2, term: 9, members: [] });
  const bytes = Buffer.concat([encodeFrame(meta), encodeFrame("newer")]);
  await writeFile(join(folder, "snapshot"), bytes);
  await using storage = await openQuorumStorage({ folder, ...owner });
  assert.equal(storage.stored.log, []);
});

test("a folder of another VM or fleet, or in use, is rejected", async ({ folder }) => {
  {
    await using _storage = await openQuorumStorage({ folder, ...owner });
    assert.match(await getOpenError(folder), /in use/);
  }
  assert.match(
    await getOpenError(folder, { ...owner, vm: "vm-2" }),
    /belongs to vm vm-1/,
  );
  assert.match(
    await getOpenError(folder, { ...owner, fleetId: "other" }),
    /belongs to fleetId trial/,
  );
  assert.is(await getOpenError(folder), "");
});

test("forming a cluster twice keeps the first one", async ({ folder }) => {
  const form = (clusterId: string) => ({ address: "a:1", clusterId });
  {
    await using first = await openQuorumStorage({
      folder,
      ...owner,
      form: form("one"),
    });
    assert.is(first.stored.snapshot?.meta.members.length, 1);
  }
  await using second = await openQuorumStorage({
    folder,
    ...owner,
    form: form("two"),
  });
  assert.is(second.identity.clusterId, "one");
});

test("a folder without a cluster forms one under the id that it is given", async ({ folder }) => {
  await write(folder, []);
  const form = { address: "vm-1:1", clusterId: "cluster" };
  const makeReplicaId = (vm: string) => `${vm}.first`;
  for (let start = 0; start < 2; start++) {
    await using storage = await openQuorumStorage({
      folder,
      ...owner,
      form,
      makeReplicaId,
    });
    assert.is(storage.identity.replicaId, "vm-1.first");
    const members = storage.stored.snapshot?.meta.members ?? [];
    assert.equal(members.map(({ id }) => id), ["vm-1.first"]);
  }
});

// Guards against an election without a cluster: a crash between the two files of a
// formation had left its members.
test("a formation that was interrupted leaves no members", async ({ folder }) => {
  const form = { address: "vm-1:1", clusterId: "cluster" };
  {
    await using storage = await openQuorumStorage({ folder, ...owner, form });
    await writeIdentity(folder, { ...storage.identity, clusterId: "" });
  }
  await using storage = await openQuorumStorage({ folder, ...owner });
  assert.is(storage.stored.snapshot, undefined);
});

test.run();
