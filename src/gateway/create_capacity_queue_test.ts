import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createCapacityQueue,
  type QueuedRequest,
} from "./create_capacity_queue.ts";

/** Ms between the ends of two streams. */
const END_INTERVAL_MS = 10;

function startQueue(options: { readonly othersWaiting?: number } = {}) {
  const clock = { ms: 0 };
  const waiting = { count: 0 };
  const queue = createCapacityQueue({
    getEndIntervalMs: () => END_INTERVAL_MS,
    getOthersWaiting: () => options.othersWaiting ?? 0,
    beginWait() {
      waiting.count += 1;
      let isWaiting = true;
      return () => {
        if (isWaiting) waiting.count -= 1;
        isWaiting = false;
      };
    },
    now: () => clock.ms,
  });
  return { clock, waiting, queue };
}

function request(fields: Partial<QueuedRequest> = {}): QueuedRequest {
  return { rank: 0, isReturn: false, clientAccount: "", ...fields };
}

test("a more urgent stream goes before those that wait, and counts only its own rank", () => {
  const { queue } = startQueue();
  const late = [1, 1, 2].map((rank) => queue.join(request({ rank })));
  assert.ok(queue.isFirst(request({ rank: 0 })));
  assert.not(queue.isFirst(request({ rank: 1 })));
  assert.is(queue.estimateWaitMs(request({ rank: 0 })), END_INTERVAL_MS);
  assert.is(queue.estimateWaitMs(request({ rank: 1 })), 3 * END_INTERVAL_MS);
  assert.is(queue.estimateWaitMs(request({ rank: 2 })), 4 * END_INTERVAL_MS);
  const urgent = queue.join(request({ rank: 0 }));
  assert.ok(urgent.isFirst());
  assert.not(late[0].isFirst());
  assert.is(late[2].countAhead(), 3);
});

test("a stream that returns goes before new ones of its rank", () => {
  const { queue } = startQueue();
  const first = queue.join(request({ rank: 1 }));
  const returning = queue.join(request({ rank: 1, isReturn: true }));
  assert.ok(returning.isFirst());
  assert.not(first.isFirst());
  assert.ok(queue.isFirst(request({ rank: 0 })));
});

test("the account with the fewest recent admissions goes first, until it has caught up", () => {
  const { queue } = startQueue();
  queue.noteAdmitted({ clientAccount: "large" });
  queue.noteAdmitted({ clientAccount: "large" });
  const large = queue.join(request({ clientAccount: "large" }));
  const small = [1, 2, 3].map(() =>
    queue.join(request({ clientAccount: "small" }))
  );
  assert.equal(small.map((ticket) => ticket.countAhead()), [0, 1, 3]);
  assert.is(large.countAhead(), 2);
  for (const ticket of small.slice(0, 2)) {
    assert.ok(ticket.isFirst());
    queue.noteAdmitted({ clientAccount: "small" });
    ticket.leave();
  }
  assert.ok(large.isFirst());
  assert.not(small[2].isFirst());
});

test("an account's admissions change the order of streams that wait already", () => {
  const { queue } = startQueue();
  const a = queue.join(request({ clientAccount: "a" }));
  const b = queue.join(request({ clientAccount: "b" }));
  assert.ok(a.isFirst());
  queue.noteAdmitted({ clientAccount: "a" });
  assert.not(a.isFirst());
  assert.ok(b.isFirst());
});

test("a stream that leaves frees its position at once, also in the middle", () => {
  const { queue, waiting } = startQueue();
  const [first, second, third] = [1, 2, 3].map(() => queue.join(request()));
  second.leave();
  assert.is(third.countAhead(), 1);
  first.leave();
  assert.ok(third.isFirst());
  // Leaving twice must not remove the position of another stream.
  first.leave();
  assert.ok(third.isFirst());
  third.leave();
  assert.ok(queue.isEmpty());
  assert.ok(queue.isFirst(request({ rank: 5 })));
  assert.is(waiting.count, 0);
});

test("streams at other gateways count by the ranks that wait here", () => {
  const { queue } = startQueue({ othersWaiting: 100 });
  const wait = (rank: number) => queue.estimateWaitMs(request({ rank }));
  // Nothing is known of ranks yet: all of them go first.
  assert.is(wait(0), 101 * END_INTERVAL_MS);
  for (let at = 0; at < 9; at += 1) queue.join(request({ rank: 2 })).leave();
  assert.is(wait(0), 11 * END_INTERVAL_MS);
  assert.is(wait(2), 101 * END_INTERVAL_MS);
});

test("with one rank and no accounts, all streams at other gateways go first", () => {
  const { queue } = startQueue({ othersWaiting: 7 });
  for (let at = 0; at < 20; at += 1) {
    assert.is(queue.estimateWaitMs(request()), (at + 8) * END_INTERVAL_MS);
    queue.join(request());
  }
});

// The wait estimate decides who is refused: a wrong position refuses streams that fit.
test("as many streams go first as were counted ahead, whatever the accounts", () => {
  const anyName = fc.constantFrom("a", "b", "c");
  // Accounts of different ranks are kept apart: an admission of a more urgent stream
  // counts for its account, which the positions don't foresee.
  const anyRequest = fc.record({
    rank: fc.nat(2),
    isReturn: fc.boolean(),
    name: anyName,
  }).map(({ rank, isReturn, name }) => ({
    rank,
    isReturn,
    clientAccount: `${name} ${rank} ${isReturn}`,
  }));
  fc.assert(
    fc.property(
      fc.array(anyRequest, { maxLength: 12 }),
      fc.array(anyRequest, { maxLength: 30 }),
      (admitted, joined) => {
        const { queue } = startQueue();
        for (const one of admitted) queue.noteAdmitted(one);
        const waiting = joined.map((one) => {
          const ahead = queue.countAhead(one);
          const isFirst = queue.isFirst(one);
          const ticket = queue.join(one);
          assert.is(ticket.countAhead(), ahead);
          assert.is(ticket.isFirst(), isFirst);
          return { one, ticket };
        });
        const expected = waiting.map(({ ticket }) => ticket.countAhead());
        const got = new Map<number, number>();
        while (got.size < waiting.length) {
          const heads = waiting.flatMap(({ ticket }, at) =>
            !got.has(at) && ticket.isFirst() ? [at] : []
          );
          assert.is(heads.length, 1);
          got.set(heads[0], got.size);
          const { one, ticket } = waiting[heads[0]];
          queue.noteAdmitted(one);
          ticket.leave();
        }
        assert.equal(waiting.map((_, at) => got.get(at)), expected);
        assert.ok(queue.isEmpty());
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test.run();
