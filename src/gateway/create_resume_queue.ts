/**
 * The streams of a service that have run, broke off and look for a new path.
 *
 * @module
 */

/** A stream that looks for a path. */
export interface ResumeTicket {
  /**
   * Waits for its turn to look for a path again; `onTurn` is called once. A stream
   * keeps its place in the order when it waits again.
   */
  wait(options: {
    readonly onTurn: () => void;
    /** Whether only the link between data centres kept it from being resumed. */
    readonly isLinkDenied?: boolean;
  }): void;
  /** Leaves the queue: the stream is sent, or has ended. */
  leave(): void;
}

/** Streams that look for a path, in the order in which they broke off. */
export interface ResumeQueue {
  /** Whether a stream waits that only the link between data centres kept back. */
  isWaitingForLink(): boolean;
  join(): ResumeTicket;
}

/** Options of {@link createResumeQueue}. */
export interface CreateResumeQueueOptions {
  /** Schedules a round of searches; a timer by default. */
  readonly schedule?: (run: () => void, delayMs: number) => void;
}

/** Interval, in ms, between two rounds of searches. */
const ROUND_INTERVAL_MS = 50;

/** Longest such interval: it doubles with each round that resumes no stream. */
const MAX_ROUND_INTERVAL_MS = 200;

/**
 * Searches without a path in one round. A search over 216 engines that fails takes some
 * 4 ms, so streams that wait for seconds take less than a tenth of a core, however many
 * there are.
 */
const MAX_FAILED_SEARCHES = 4;

interface WaitingStream {
  readonly arrival: number;
  readonly isLinkDenied: boolean;
  readonly onTurn: () => void;
}

/**
 * Creates a queue for each service, on first use.
 *
 * @returns Gets the queue of a service.
 * @throws Nothing.
 * @example
 * const getResumeQueue = createResumeQueues();
 */
export function createResumeQueues(): (service: string) => ResumeQueue {
  const queues = new Map<string, ResumeQueue>();
  return (service) => {
    const queue = queues.get(service) ?? createResumeQueue();
    queues.set(service, queue);
    return queue;
  };
}

/**
 * Creates an empty queue. In each round the stream that has waited longest searches
 * first, and the others in turn, so that one whose needs can't be met keeps no other
 * from being resumed.
 *
 * @param options - How rounds are scheduled.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * const ticket = createResumeQueue().join();
 */
export function createResumeQueue(
  options: CreateResumeQueueOptions = {},
): ResumeQueue {
  const { schedule = setTimeout } = options;
  const waiting = new Map<number, WaitingStream>();
  let lastArrival = 0;
  let lastSearched = 0;
  let isScheduled = false;
  let intervalMs = ROUND_INTERVAL_MS;

  function scheduleRound(): void {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    schedule(runRound, intervalMs);
  }

  function runRound(): void {
    const searched = new Set<number>();
    let failed = 0;
    while (failed < MAX_FAILED_SEARCHES) {
      const stream = failed === 0 ? findOldest() : chooseNext(searched);
      if (!stream) break;
      const { arrival, onTurn } = stream;
      searched.add(arrival);
      waiting.delete(arrival);
      onTurn();
      if (waiting.has(arrival)) failed += 1;
    }
    const hasResumed = searched.size > failed;
    intervalMs = hasResumed
      ? ROUND_INTERVAL_MS
      : Math.min(MAX_ROUND_INTERVAL_MS, 2 * intervalMs);
    isScheduled = false;
    scheduleRound();
  }

  function listArrivals(): number[] {
    return [...waiting.keys()].sort((a, b) => a - b);
  }

  function findOldest(): WaitingStream | undefined {
    return waiting.get(listArrivals()[0]);
  }

  function chooseNext(
    searched: ReadonlySet<number>,
  ): WaitingStream | undefined {
    const arrivals = listArrivals().filter((one) => !searched.has(one));
    const next = arrivals.find((one) => one > lastSearched) ?? arrivals[0];
    lastSearched = next;
    return waiting.get(next);
  }

  return {
    isWaitingForLink: () =>
      [...waiting.values()].some(({ isLinkDenied }) => isLinkDenied),
    join() {
      const arrival = ++lastArrival;
      let hasWaited = false;
      return {
        wait({ onTurn, isLinkDenied = false }) {
          if (!hasWaited) intervalMs = ROUND_INTERVAL_MS;
          hasWaited = true;
          waiting.set(arrival, { arrival, isLinkDenied, onTurn });
          scheduleRound();
        },
        leave: () => void waiting.delete(arrival),
      };
    },
  };
}
