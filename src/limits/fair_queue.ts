/**
 * Weighted fair queue over client accounts, ordered by priority and deadline.
 *
 * @module
 */

/** A queued request. */
export interface QueuedRequest {
  readonly id: number;
  readonly clientAccount: string;
  /** The client account's relative share under overload. */
  readonly weight: number;
  /** Priority; 9 is served first. */
  readonly priority: number;
  /** Time, in ms, at which the request expires. */
  readonly deadlineMs: number;
  /** Virtual finish time: when it would end if every account got exactly its share. */
  readonly finish: number;
}

/** State of the queue; a plain immutable value. */
export interface FairQueue {
  readonly waiting: readonly QueuedRequest[];
  /** Virtual time: the highest finish of the requests dequeued so far. */
  readonly virtualTime: number;
  /** Virtual finish time of each client account's newest request. */
  readonly lastFinish: Readonly<Record<string, number>>;
}

/** Result of a dequeue: the request, and those that expired in the queue. */
export interface DequeueResult {
  readonly queue: FairQueue;
  readonly request: QueuedRequest | undefined;
  readonly expired: readonly QueuedRequest[];
}

/**
 * Creates an empty queue.
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
 * Adds a request to the queue.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @returns The queue with the request added.
 * @throws Nothing.
 * @example
 * const next = addToFairQueue(queue, request);
 */
export function addToFairQueue(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): FairQueue {
  const { clientAccount } = request;
  const finish = computeFinish(queue, request);
  return {
    ...queue,
    waiting: [...queue.waiting, { ...request, finish }],
    lastFinish: { ...queue.lastFinish, [clientAccount]: finish },
  };
}

/** Position that a new request would have in the queue. */
export interface FairQueuePosition {
  /** Requests that would be served before it. */
  readonly ahead: number;
  /** The request that would be served last; undefined if that is the new one. */
  readonly last: QueuedRequest | undefined;
}

/**
 * Finds the position that a new request would have in the queue.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @returns The number of requests before it, and the request that would be last.
 * @throws Nothing.
 * @example
 * const { ahead } = findFairQueuePosition(queue, request);
 */
export function findFairQueuePosition(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): FairQueuePosition {
  const candidate = { ...request, finish: computeFinish(queue, request) };
  let ahead = 0;
  let last: QueuedRequest = candidate;
  for (const item of queue.waiting) {
    if (precedes(item, candidate)) ahead += 1;
    if (precedes(last, item)) last = item;
  }
  return { ahead, last: last === candidate ? undefined : last };
}

function computeFinish(
  queue: FairQueue,
  request: Omit<QueuedRequest, "finish">,
): number {
  const lastFinish = queue.lastFinish[request.clientAccount] ?? 0;
  return Math.max(queue.virtualTime, lastFinish) + 1 / request.weight;
}

/**
 * Removes the next request: the highest priority first, then the client account
 * that is furthest behind its share, then the earliest deadline. Also drops
 * expired requests.
 *
 * @param queue - The queue.
 * @param nowMs - The time, in ms.
 * @returns The remaining queue, the request, and the expired requests.
 * @throws Nothing.
 * @example
 * const { queue: next, request } = takeFromFairQueue(queue, 1_000);
 */
export function takeFromFairQueue(
  queue: FairQueue,
  nowMs: number,
): DequeueResult {
  const expired = queue.waiting.filter((item) => item.deadlineMs <= nowMs);
  const pending = expired.length === 0
    ? queue.waiting
    : queue.waiting.filter((item) => item.deadlineMs > nowMs);
  const request = findNext(pending);
  if (!request) {
    return {
      queue: { waiting: [], virtualTime: queue.virtualTime, lastFinish: {} },
      request,
      expired,
    };
  }
  const waiting = pending.filter((item) => item !== request);
  const virtualTime = Math.max(queue.virtualTime, request.finish);
  return { queue: { ...queue, waiting, virtualTime }, request, expired };
}

/**
 * Removes a request that its caller cancelled.
 *
 * @param queue - The queue.
 * @param id - The request's id.
 * @returns The queue without the request.
 * @throws Nothing.
 * @example
 * const next = removeFromFairQueue(queue, 7);
 */
export function removeFromFairQueue(queue: FairQueue, id: number): FairQueue {
  return { ...queue, waiting: queue.waiting.filter((item) => item.id !== id) };
}

function findNext(
  waiting: readonly QueuedRequest[],
): QueuedRequest | undefined {
  let first: QueuedRequest | undefined;
  for (const item of waiting) {
    if (!first || precedes(item, first)) first = item;
  }
  return first;
}

function precedes(a: QueuedRequest, b: QueuedRequest): boolean {
  if (a.priority !== b.priority) return a.priority > b.priority;
  if (a.finish !== b.finish) return a.finish < b.finish;
  return a.deadlineMs < b.deadlineMs;
}
