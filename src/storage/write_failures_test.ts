/**
 * Tests of writes and syncs that fail while the process goes on.
 *
 * @module
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { type FileHandle, mkdtemp, open, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { LogEntry } from "../quorum/index.ts";
import { openQuorumStorage, type QuorumStorage } from "./index.ts";

const test = suite<{ folder: string }>("failed writes");

const probe = await open(tmpdir(), "r");
const handles = Object.getPrototypeOf(probe) as FileHandle;
await probe.close();
const { write, datasync, sync, truncate } = handles;

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "crowlever-"));
});

test.after.each(async ({ folder }) => {
  Object.assign(handles, { write, datasync, sync, truncate });
  await rm(folder, { recursive: true });
});

const owner = { fleetId: "trial", vm: "vm-1" };
const hard = { term: 3, votedFor: "vm-2.0" };

function makeEntry(index: number, size = 60): LogEntry {
  return { index, term: 1, kind: "command", body: "x".repeat(size) };
}

function makeError(code: string): Error {
  return Object.assign(new Error(code), { code });
}

type WriteBytes = (
  this: FileHandle,
  buffer: Uint8Array,
  offset: number,
  length: number,
  position: number,
) => Promise<{ bytesWritten: number }>;

/** Lets this many bytes be written; further ones fail. */
function failAfterBytes(bytes: number, code: string): void {
  let left = bytes;
  const failing: WriteBytes = function (buffer, offset, length, position) {
    if (left === 0) return Promise.reject(makeError(code));
    const part = Math.min(left, length);
    left -= part;
    const writePart = write as unknown as WriteBytes;
    return writePart.call(this, buffer, offset, part, position);
  };
  Object.assign(handles, { write: failing });
}

function failSync(code: string): void {
  handles.datasync = () => Promise.reject(makeError(code));
}

function stopFailing(): void {
  Object.assign(handles, { write, datasync, sync, truncate });
}

/** Fails one sync or truncation, counted from now on. */
function failOperation(count: number, code: string): void {
  let left = count;
  const failing = Object.entries({ sync, truncate }).map(([name, original]) => [
    name,
    function (this: FileHandle, ...rest: never[]) {
      if (left-- === 0) return Promise.reject(makeError(code));
      return (original as () => Promise<void>).apply(this, rest as never);
    },
  ]);
  Object.assign(handles, Object.fromEntries(failing));
}

async function appendEntries(
  storage: QuorumStorage,
  entries: readonly LogEntry[],
): Promise<string> {
  try {
    await storage.append(entries.map((entry) => ({ hard, entries: [entry] })));
    return "";
  } catch (error) {
    return (error as Error).message;
  }
}

async function readLog(folder: string): Promise<readonly LogEntry[]> {
  await using storage = await openQuorumStorage({ folder, ...owner });
  return storage.stored.log;
}

// Guards against a log that can't be opened again: the retry was written behind the
// part that a full disk had left, since the new log was open for appending.
test("a write to a new log that is cut short is replaced by its retry", async ({ folder }) => {
  const entries = [1, 2, 3].map((index) => makeEntry(index));
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    failAfterBytes(40, "ENOSPC");
    assert.is(await appendEntries(storage, entries.slice(0, 2)), "ENOSPC");
    stopFailing();
    assert.is(await appendEntries(storage, entries.slice(0, 2)), "");
    assert.is(await appendEntries(storage, entries.slice(2)), "");
  }
  assert.equal(await readLog(folder), entries);
});

// Guards against records of a write that failed, left behind the end of a shorter one.
test("records whose sync failed are not left behind a shorter write", async ({ folder }) => {
  const first = makeEntry(1);
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    await appendEntries(storage, [first]);
  }
  const second = makeEntry(2, 1);
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    failSync("ENOSPC");
    const failed = [2, 3, 4].map((index) => makeEntry(index));
    assert.is(await appendEntries(storage, failed), "ENOSPC");
    stopFailing();
    assert.is(await appendEntries(storage, [second]), "");
  }
  assert.equal(await readLog(folder), [first, second]);
});

test("only durable writes are read back, whatever failed before them", async ({ folder }) => {
  const attempt = fc.record({
    sizes: fc.array(fc.nat(9_000), { minLength: 1, maxLength: 3 }),
    failure: fc.option(
      fc.oneof(fc.constant("sync" as const), fc.nat(12_000)),
    ),
    code: fc.constantFrom("ENOSPC", "EDQUOT", "EIO"),
    reopens: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(attempt, { minLength: 1, maxLength: 8 }),
      async (attempts) => {
        await rm(folder, { recursive: true });
        const written: LogEntry[] = [];
        let storage = await openQuorumStorage({ folder, ...owner });
        for (const { sizes, failure, code, reopens } of attempts) {
          const entries = sizes.map((size, at) =>
            makeEntry(written.length + 1 + at, size)
          );
          if (failure === "sync") failSync(code);
          else if (failure !== null) failAfterBytes(failure, code);
          const error = await appendEntries(storage, entries);
          stopFailing();
          if (error === "") written.push(...entries);
          // After a failure, the next write takes the same place.
          if (error !== "" || !reopens) continue;
          await storage[Symbol.asyncDispose]();
          storage = await openQuorumStorage({ folder, ...owner });
          assert.equal(storage.stored.log, written);
        }
        await appendEntries(storage, [makeEntry(written.length + 1, 0)]);
        written.push(makeEntry(written.length + 1, 0));
        await storage[Symbol.asyncDispose]();
        assert.equal(await readLog(folder), written);
      },
    ),
    { seed: 7_901, numRuns: 40 },
  );
});

// Guards against a snapshot that is tried again on files of its first attempt.
test("a snapshot that fails at any step is saved by its retry", async ({ folder }) => {
  const entries = [3, 4].map((index) => makeEntry(index));
  const meta = { index: 2, term: 1, members: [] };
  const save = { snapshot: { meta, data: "state" }, hard, entries };
  let failedSteps = 0;
  for (let hasFailed = true; hasFailed; failedSteps++) {
    await rm(folder, { recursive: true });
    hasFailed = false;
    {
      await using storage = await openQuorumStorage({ folder, ...owner });
      await appendEntries(storage, [1, 2, 3, 4].map((at) => makeEntry(at)));
      failOperation(failedSteps, "ENOMEM");
      try {
        await storage.saveSnapshot(save);
      } catch (error) {
        assert.is((error as Error).message, "ENOMEM");
        hasFailed = true;
      }
      stopFailing();
      if (hasFailed) await storage.saveSnapshot(save);
      assert.is(await appendEntries(storage, [makeEntry(5)]), "");
    }
    const log = await readLog(folder);
    assert.equal(log, [...entries, makeEntry(5)], `step ${failedSteps}`);
  }
  assert.ok(failedSteps > 4);
});

test.run();
