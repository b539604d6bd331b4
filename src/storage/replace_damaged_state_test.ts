import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  type FileHandle,
  mkdtemp,
  open,
  readdir,
  readFile,
  rm,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  openQuorumStorage,
  readIdentity,
  replaceDamagedState,
  StorageDamageError,
} from "./index.ts";

const test = suite<{ folder: string }>("damaged state");

const probe = await open(tmpdir(), "r");
const handles = Object.getPrototypeOf(probe) as FileHandle;
await probe.close();
const { sync } = handles;

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "crowlever-"));
});

test.after.each(async ({ folder }) => {
  handles.sync = sync;
  await rm(folder, { recursive: true });
});

const owner = { fleetId: "trial", vm: "vm-1" };
const form = { address: "vm-1:1", clusterId: "cluster" };
const STATE_FILES = ["snapshot", "log-1"];

/** Writes a folder whose log is damaged in its first record; returns its files. */
async function writeDamaged(folder: string): Promise<Map<string, string>> {
  await rm(folder, { recursive: true });
  {
    await using storage = await openQuorumStorage({ folder, ...owner, form });
    for (const index of [1, 2, 3]) {
      const entry = { index, term: 1, kind: "command", body: "x" } as const;
      const hard = { term: 1, votedFor: storage.identity.replicaId };
      await storage.append([{ hard, entries: [entry] }]);
    }
  }
  const path = join(folder, "log-1");
  const bytes = await readFile(path);
  bytes[20] ^= 0x40;
  await writeFile(path, bytes);
  return await readFiles(folder, ["identity", ...STATE_FILES]);
}

async function readFiles(
  folder: string,
  names: readonly string[],
): Promise<Map<string, string>> {
  const files = new Map<string, string>();
  for (const name of names) {
    files.set(name, await readFile(join(folder, name), "latin1"));
  }
  return files;
}

/** Fails one sync, and all that follow it, as if the process had ended there. */
function endAtSync(count: number): void {
  let left = count;
  handles.sync = function (this: FileHandle) {
    if (left-- <= 0) return Promise.reject(new Error("ended"));
    return sync.call(this);
  };
}

test("damaged files are kept, and the replica starts empty under a new id", async ({ folder }) => {
  const before = await writeDamaged(folder);
  const old = await readIdentity({ folder, ...owner });
  const movedTo = await replaceDamagedState({ folder, ...owner });
  assert.equal(await readFiles(movedTo, [...before.keys()]), before);
  // Guards against a second cluster: a replacement never forms one.
  for (const options of [owner, { ...owner, form }]) {
    await using storage = await openQuorumStorage({ folder, ...options });
    const { identity, stored } = storage;
    assert.is.not(identity.replicaId, old.replicaId);
    assert.is(identity.clusterId, "");
    assert.is(identity.isReplacement, true);
    assert.is(stored.snapshot, undefined);
    assert.equal(stored.log, []);
    assert.is(stored.hard.term, 0);
  }
});

// Guards against a vote that is given twice: the old identity without its log.
test("after an end at any step, the old identity has all of its files or is replaced", async ({ folder }) => {
  let steps = 0;
  for (let hasEnded = true; hasEnded; steps++) {
    const before = await writeDamaged(folder);
    const old = await readIdentity({ folder, ...owner });
    hasEnded = false;
    endAtSync(steps);
    try {
      await replaceDamagedState({ folder, ...owner });
    } catch (error) {
      assert.is((error as Error).message, "ended");
      hasEnded = true;
    }
    handles.sync = sync;
    const left = await readIdentity({ folder, ...owner });
    if (left.replicaId === old.replicaId) {
      assert.equal(await readFiles(folder, [...before.keys()]), before);
      await assertDamaged(folder);
      await replaceDamagedState({ folder, ...owner });
    } else {
      assert.is(left.isReplacement, true);
    }
    await using storage = await openQuorumStorage({ folder, ...owner, form });
    assert.is.not(storage.identity.replicaId, old.replicaId, `step ${steps}`);
    assert.is(storage.identity.clusterId, "");
    assert.is(storage.identity.isReplacement, true);
    assert.is(storage.identity.damagedFolder, undefined);
    assert.is(storage.stored.snapshot, undefined);
    assert.equal(storage.stored.log, []);
    const names = await readdir(folder);
    const last = names.filter((name) => name.startsWith("damaged-")).sort()
      .at(-1) ?? "";
    const kept = await readFiles(join(folder, last), [...before.keys()]);
    assert.equal(kept, before, `step ${steps}`);
  }
  assert.ok(steps > 8, `${steps} steps`);
});

async function assertDamaged(folder: string): Promise<void> {
  try {
    await using _storage = await openQuorumStorage({ folder, ...owner });
    assert.unreachable("the folder is opened");
  } catch (error) {
    assert.instance(error, StorageDamageError);
  }
}

test("the files of an earlier damage are kept beside those of a later one", async ({ folder }) => {
  await writeDamaged(folder);
  const first = await replaceDamagedState({ folder, ...owner });
  const kept = await readFiles(first, STATE_FILES);
  const second = await replaceDamagedState({ folder, ...owner });
  assert.is.not(second, first);
  assert.equal(await readFiles(first, STATE_FILES), kept);
});

test.run();
