/**
 * New streams that wait a moment for room, in the order in which they came.
 *
 * @module
 */

import type { FleetRates } from "./create_fleet_rates.ts";

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

/** What a queue needs to know of the fleet. */
export interface CreateRoomQueueOptions {
  /** Mean time, in ms, between two ends of streams, which leave room. */
  readonly getEndIntervalMs: () => number;
  /** Streams that wait for the same room at other gateways. */
  readonly getOthersWaiting: () => number;
  /** Counts one that waits until what it returns is called. */
  readonly beginWait: () => () => void;
}

/**
 * Makes the queues of all services: who waits for one model's engines holds up
 * nobody who asks for another one's.
 *
 * @param rates - What the fleet's streams do.
 * @returns The queue of a service, made when it is first asked for.
 * @throws Nothing.
 * @example
 * const getRoomQueue = createRoomQueues(rates);
 */
export function createRoomQueues(
  rates: Pick<
    FleetRates,
    "getEndIntervalMs" | "getOthersWaiting" | "beginWait"
  >,
): (service: string) => RoomQueue {
  const queues = new Map<string, RoomQueue>();
  return (service) => {
    const known = queues.get(service);
    if (known) return known;
    const queue = createRoomQueue({
      getEndIntervalMs: () => rates.getEndIntervalMs(service),
      getOthersWaiting: () => rates.getOthersWaiting(service),
      beginWait: () => rates.beginWait(service),
    });
    queues.set(service, queue);
    return queue;
  };
}

/**
 * Makes a queue, empty. Room that a stream's end leaves goes to whoever asks
 * first, at any gateway: who waits here expects those who wait elsewhere to go
 * before.
 *
 * @param options - What the queue needs to know of the fleet.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * const queue = createRoomQueue(options);
 */
export function createRoomQueue(options: CreateRoomQueueOptions): RoomQueue {
  const turns: RoomTurn[] = [];
  const estimateWaitMs = (place: number) =>
    (place + options.getOthersWaiting()) * options.getEndIntervalMs();
  return {
    isEmpty: () => turns.length === 0,
    estimateWaitMs: () => estimateWaitMs(turns.length + 1),
    join() {
      const endWait = options.beginWait();
      const turn: RoomTurn = {
        isFirst: () => turns[0] === turn,
        estimateWaitMs: () => estimateWaitMs(turns.indexOf(turn) + 1),
        leave() {
          endWait();
          const at = turns.indexOf(turn);
          if (at >= 0) turns.splice(at, 1);
        },
      };
      turns.push(turn);
      return turn;
    },
  };
}
