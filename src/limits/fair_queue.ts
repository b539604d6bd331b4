/**
 * A queue that is fair among client accounts, by priority and deadline.
 *
 * @module
 */

/** A request that waits. */
export interface QueuedRequest {
  readonly id: number;
  readonly clientAccount: string;
  /** The client account's share under overload. */
  readonly weight: number;
  /** 9 goes first. */
  readonly priority: number;
  /** Time, in ms, after which nobody wants it. */
  readonly deadlineMs: number;
  /** Virtual time at which it would end if all got their share. */
  readonly finish: number;
}

/** The queue; plain and immutable. */
export interface FairQueue {
  readonly waiting: readonly QueuedRequest[];
  /** Virtual time: the finish of the last request that was taken. */
  readonly virtualTime: number;
  /** Virtual finish of each client account's newest request. */
  readonly lastFinish: Readonly<Record<string, number>>;
}

/** A request taken from the queue, and those that are too late by now. */
export interface TakenRequest {
  readonly queue: FairQueue;
  readonly request: QueuedRequest | undefined;
  readonly expired: readonly QueuedRequest[];
}

/**
 * Makes an empty queue.
 *
 * @returns The queue.
 * @throws Nothing.
 * @example
 * const queue = createFairQueue();
 */
export function createFairQueue(): FairQueue {
  return { waiting: [], virtualTime: 0, lastFinish: {} };
}

/**
 * Adds a request.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @returns The queue with it.
 * @throws Nothing.
 * @example
 * const next = addToFairQueue(queue, request);
 */
export function addToFairQueue(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): FairQueue {
  const { clientAccount } = request;
  const finish = getFinish(queue, request);
  return {
    ...queue,
    waiting: [...queue.waiting, { ...request, finish }],
    lastFinish: { ...queue.lastFinish, [clientAccount]: finish },
  };
}

/** Where a request that is not yet in the queue would stand. */
export interface FairQueuePlace {
  /** Requests that would go before it. */
  readonly ahead: number;
  /** The request that goes last of all, if that is not the new one. */
  readonly last: QueuedRequest | undefined;
}

/**
 * Finds where a request that is not yet in the queue would stand.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @returns How many go before it, and who would go last.
 * @throws Nothing.
 * @example
 * const { ahead } = findFairQueuePlace(queue, request);
 */
export function findFairQueuePlace(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): FairQueuePlace {
  const placed = { ...request, finish: getFinish(queue, request) };
  let ahead = 0;
  let last: QueuedRequest = placed;
  for (const item of queue.waiting) {
    if (goesBefore(item, placed)) ahead += 1;
    if (goesBefore(last, item)) last = item;
  }
  return { ahead, last: last === placed ? undefined : last };
}

function getFinish(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): number {
  const lastFinish = queue.lastFinish[request.clientAccount] ?? 0;
  return Math.max(queue.virtualTime, lastFinish) + 1 / request.weight;
}

/**
 * Takes the next request: the highest priority, then the client account that
 * is furthest behind its share, then the nearest deadline.
 *
 * @param queue - The queue.
 * @param nowMs - The time, in ms.
 * @returns The queue without it, the request, and those whose deadline passed.
 * @throws Nothing.
 * @example
 * const { queue: next, request } = takeFromFairQueue(queue, 1_000);
 */
export function takeFromFairQueue(
  queue: FairQueue,
  nowMs: number,
): TakenRequest {
  const expired = queue.waiting.filter((item) => item.deadlineMs <= nowMs);
  const alive = expired.length === 0
    ? queue.waiting
    : queue.waiting.filter((item) => item.deadlineMs > nowMs);
  const request = findFirst(alive);
  if (!request) {
    return {
      queue: { waiting: [], virtualTime: queue.virtualTime, lastFinish: {} },
      request,
      expired,
    };
  }
  const waiting = alive.filter((item) => item !== request);
  const virtualTime = Math.max(queue.virtualTime, request.finish);
  return { queue: { ...queue, waiting, virtualTime }, request, expired };
}

/**
 * Removes a request that its caller gave up.
 *
 * @param queue - The queue.
 * @param id - The request's id.
 * @returns The queue without it.
 * @throws Nothing.
 * @example
 * const next = removeFromFairQueue(queue, 7);
 */
export function removeFromFairQueue(queue: FairQueue, id: number): FairQueue {
  return { ...queue, waiting: queue.waiting.filter((item) => item.id !== id) };
}

function findFirst(
  waiting: readonly QueuedRequest[],
): QueuedRequest | undefined {
  let first: QueuedRequest | undefined;
  for (const item of waiting) {
    if (!first || goesBefore(item, first)) first = item;
  }
  return first;
}

function goesBefore(a: QueuedRequest, b: QueuedRequest): boolean {
  if (a.priority !== b.priority) return a.priority > b.priority;
  if (a.finish !== b.finish) return a.finish < b.finish;
  return a.deadlineMs < b.deadlineMs;
}
