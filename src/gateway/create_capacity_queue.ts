/**
 * A queue of new streams that wait briefly for free capacity, first in, first out.
 *
 * @module
 */

import type { FleetRates } from "./create_fleet_rates.ts";

/** A position in the queue. */
export interface QueueTicket {
  /** Whether it is at the head of the queue. */
  isFirst(): boolean;
  /** Expected remaining wait, in ms. */
  estimateWaitMs(): number;
  /** Leaves the queue. */
  leave(): void;
}

/** Streams that wait for free capacity. */
export interface CapacityQueue {
  isEmpty(): boolean;
  /** Expected wait, in ms, of a stream that joins now. */
  estimateWaitMs(): number;
  join(): QueueTicket;
}

/** What a queue needs to know about the fleet. */
export interface CreateCapacityQueueOptions {
  /** Mean time, in ms, between the ends of two streams, which free capacity. */
  readonly getEndIntervalMs: () => number;
  /** Number of streams that wait for the same capacity at other gateways. */
  readonly getOthersWaiting: () => number;
  /** Counts a waiting stream until the returned function is called. */
  readonly beginWait: () => () => void;
}

/**
 * Creates a queue per service, so that streams that wait for the engines of one model
 * don't delay those of another.
 *
 * @param rates - The stream rates of the fleet.
 * @returns Gets the queue of a service, which is created on first use.
 * @throws Nothing.
 * @example
 * const getCapacityQueue = createCapacityQueues(rates);
 */
export function createCapacityQueues(
  rates: Pick<
    FleetRates,
    "getEndIntervalMs" | "getOthersWaiting" | "beginWait"
  >,
): (service: string) => CapacityQueue {
  const queues = new Map<string, CapacityQueue>();
  return (service) => {
    const known = queues.get(service);
    if (known) return known;
    const queue = createCapacityQueue({
      getEndIntervalMs: () => rates.getEndIntervalMs(service),
      getOthersWaiting: () => rates.getOthersWaiting(service),
      beginWait: () => rates.beginWait(service),
    });
    queues.set(service, queue);
    return queue;
  };
}

/**
 * Creates an empty queue. Capacity freed by a stream goes to whichever gateway asks
 * first, so wait estimates assume that the streams waiting at other gateways go
 * first.
 *
 * @param options - What the queue needs to know about the fleet.
 * @returns The queue.
 * @throws Nothing.
 * @example
 * const queue = createCapacityQueue(options);
 */
export function createCapacityQueue(
  options: CreateCapacityQueueOptions,
): CapacityQueue {
  const tickets: QueueTicket[] = [];
  const estimateWaitMs = (position: number) =>
    (position + options.getOthersWaiting()) * options.getEndIntervalMs();
  return {
    isEmpty: () => tickets.length === 0,
    estimateWaitMs: () => estimateWaitMs(tickets.length + 1),
    join() {
      const endWait = options.beginWait();
      const ticket: QueueTicket = {
        isFirst: () => tickets[0] === ticket,
        estimateWaitMs: () => estimateWaitMs(tickets.indexOf(ticket) + 1),
        leave() {
          endWait();
          const index = tickets.indexOf(ticket);
          if (index >= 0) tickets.splice(index, 1);
        },
      };
      tickets.push(ticket);
      return ticket;
    },
  };
}
