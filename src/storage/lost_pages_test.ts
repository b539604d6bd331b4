/**
 * Tests of what a loss of power leaves of files that were not synced.
 *
 * @module
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { Buffer } from "node:buffer";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { LogEntry } from "../quorum/index.ts";
import {
  openQuorumStorage,
  type PersistRecord,
  type StoredState,
} from "./index.ts";

const test = suite<{ folder: string }>("loss of power");

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "crowlever-"));
});

test.after.each(async ({ folder }) => {
  await rm(folder, { recursive: true });
});

const owner = { fleetId: "trial", vm: "vm-1" };
const PAGE_BYTES = 4_096;

function makeRecord(
  indexes: readonly number[],
  options: { term?: number; sizeBytes?: number } = {},
): PersistRecord {
  const { term = 1, sizeBytes = 60 } = options;
  const body = "x".repeat(sizeBytes);
  return {
    hard: { term, votedFor: `vm-${term}.0` },
    entries: indexes.map((index): LogEntry => ({
      index,
      term,
      kind: "command",
      body,
    })),
  };
}

async function append(
  folder: string,
  records: readonly PersistRecord[],
): Promise<Buffer> {
  {
    await using storage = await openQuorumStorage({ folder, ...owner });
    await storage.append(records);
  }
  return await readFile(join(folder, "log-1"));
}

async function readStored(
  folder: string,
): Promise<Pick<StoredState, "hard" | "log">> {
  await using storage = await openQuorumStorage({ folder, ...owner });
  const { hard, log } = storage.stored;
  return { hard, log };
}

function clearPage(bytes: Buffer, page: number, fromByte: number): void {
  const start = page * PAGE_BYTES;
  bytes.subarray(Math.max(start, fromByte), start + PAGE_BYTES).fill(0);
}

const synced = makeRecord([1, 2], { sizeBytes: 1_000 });

// Guards against a log that can't be opened again although nothing that was synced is
// lost: one write held several frames, the first page was missing and a later one there.
test("no page of the last write is needed to open the log", async ({ folder }) => {
  const before = await append(folder, [synced]);
  const records = [3, 4, 5, 6].map((index) =>
    makeRecord([index], { term: 2, sizeBytes: 3_000 })
  );
  const after = await append(folder, records);
  const firstPage = Math.floor(before.length / PAGE_BYTES);
  const pages = Math.ceil(after.length / PAGE_BYTES) - firstPage;
  for (let kept = 2 ** pages - 2; kept >= 0; kept--) {
    const left = Buffer.from(after);
    for (let page = 0; page < pages; page++) {
      if (kept & (1 << page)) continue;
      clearPage(left, firstPage + page, before.length);
    }
    await writeFile(join(folder, "log-1"), left);
    const { hard, log } = await readStored(folder);
    assert.equal(hard, synced.hard, `pages ${kept.toString(2)}`);
    assert.equal(log, synced.entries, `pages ${kept.toString(2)}`);
  }
});

test("whatever a loss of power leaves of the last write, the synced ones are read back", async ({ folder }) => {
  const path = join(folder, "log-1");
  const write = fc.array(
    fc.record({ indexes: fc.nat(3), sizeBytes: fc.nat(6_000) }),
    { minLength: 1, maxLength: 4 },
  );
  const loss = fc.record({
    // Pages and bytes of the last write that are missing, and where the file ends.
    pages: fc.array(fc.nat(40)),
    tornAt: fc.option(fc.nat()),
    end: fc.option(fc.nat()),
    zeros: fc.nat(3 * PAGE_BYTES),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(write, { maxLength: 3 }),
      write,
      loss,
      async (writes, last, lost) => {
        await rm(folder, { recursive: true });
        let next = 1;
        const makeRecords = (shapes: typeof last): PersistRecord[] =>
          shapes.map(({ indexes, sizeBytes }, at) => {
            const list = Array.from({ length: indexes }, () => next++);
            return makeRecord(list, { term: at + 1, sizeBytes });
          });
        let before = await append(folder, []);
        for (const shapes of writes) {
          before = await append(folder, makeRecords(shapes));
        }
        const expected = await readStored(folder);
        const whole = await append(folder, makeRecords(last));
        const left = Buffer.from(whole);
        const firstPage = Math.floor(before.length / PAGE_BYTES);
        for (const page of lost.pages) {
          clearPage(left, firstPage + page, before.length);
        }
        const lastBytes = whole.length - before.length;
        if (lost.tornAt !== null) {
          left.subarray(before.length + lost.tornAt % lastBytes).fill(0);
        }
        const end = lost.end === null
          ? whole.length
          : before.length + lost.end % lastBytes;
        const tail = Buffer.alloc(lost.zeros);
        const content = Buffer.concat([left.subarray(0, end), tail]);
        await writeFile(path, content);
        const isWhole = content.subarray(0, whole.length).equals(whole);
        const stored = await readStored(folder);
        if (!isWhole) assert.equal(stored, expected);
        // The next write has to be readable as well.
        const record = makeRecord([], { term: 9 });
        await append(folder, [record]);
        assert.equal((await readStored(folder)).hard, record.hard);
      },
    ),
    { seed: 7_902, numRuns: 60 },
  );
});

test("records that share a write are read back like separate ones", async ({ folder }) => {
  const record = fc.record({
    first: fc.integer({ min: 1, max: 9 }),
    count: fc.nat(3),
    term: fc.integer({ min: 1, max: 9 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(record, { minLength: 1, maxLength: 6 }),
      async (shapes) => {
        // Each record follows the log that the earlier ones have left.
        let end = 0;
        const records = shapes.map(({ first, count, term }) => {
          const from = Math.min(first, end + 1);
          if (count > 0) end = from + count - 1;
          const indexes = Array.from({ length: count }, (_v, at) => from + at);
          return makeRecord(indexes, { term });
        });
        const states = [];
        for (const writes of [[records], records.map((one) => [one])]) {
          await rm(folder, { recursive: true });
          for (const each of writes) await append(folder, each);
          states.push(await readStored(folder));
        }
        assert.equal(states[0], states[1]);
      },
    ),
    { seed: 7_903, numRuns: 60 },
  );
});

test.run();
