/**
 * New streams that wait a moment for room, in the order in which they came.
 *
 * @module
 */

/** A place in the queue. */
export interface RoomTurn {
  /** Whether nobody else waits before it. */
  isFirst(): boolean;
  /** Time, in ms, that it is expected to wait from now on. */
  estimateWaitMs(): number;
  /** Gives the place up. */
  leave(): void;
}

/** Streams that wait for room. */
export interface RoomQueue {
  isEmpty(): boolean;
  /** Time, in ms, that one who joins now is expected to wait. */
  estimateWaitMs(): number;
  join(): RoomTurn;
}

/**
 * Makes the queues of all services: who waits for one model's engines holds up
 * nobody who asks for another one's.
 *
 * @param options - Mean time between two ends of streams, in ms.
 * @returns The queue of a service, made when it is first asked for.
 * @throws Nothing.
 * @example
 * const getRoomQueue = createRoomQueues({ getEndIntervalMs });
 */
export function createRoomQueues(
  options: { readonly getEndIntervalMs: () => number },
): (service: string) => RoomQueue {
  const queues = new Map<string, RoomQueue>();
  return (service) => {
    const known = queues.get(service);
    if (known) return known;
    const queue = createRoomQueue(options);
    queues.set(service, queue);
    return queue;
  };
}

/**
 * Makes a queue, empty.
 *
 * @param options - Mean time between two ends of streams, in ms.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * const queue = createRoomQueue({ getEndIntervalMs });
 */
export function createRoomQueue(
  options: { readonly getEndIntervalMs: () => number },
): RoomQueue {
  const { getEndIntervalMs } = options;
  const turns: RoomTurn[] = [];
  return {
    isEmpty: () => turns.length === 0,
    estimateWaitMs: () => (turns.length + 1) * getEndIntervalMs(),
    join() {
      const turn: RoomTurn = {
        isFirst: () => turns[0] === turn,
        estimateWaitMs: () => (turns.indexOf(turn) + 1) * getEndIntervalMs(),
        leave() {
          const at = turns.indexOf(turn);
          if (at >= 0) turns.splice(at, 1);
        },
      };
      turns.push(turn);
      return turn;
    },
  };
}
