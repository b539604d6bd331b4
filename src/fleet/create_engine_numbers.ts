/**
 * Short numbers for engines within one session, so that news of their work
 * names each in a byte or two in place of its id.
 *
 * @module
 */

import type { wire } from "../wire/index.ts";
import type { EngineLoads } from "./messages.ts";

/** The numbers that engines have within a session. */
export interface EngineNumbers {
  /** Gets an engine's number; one that has none is given the next. */
  assign(engineId: string): number;
  /** Takes a number that the other side gave. */
  learn(engineId: string, number: number): void;
  /** Leaves out the loads of engines that have no number. */
  keepNumbered(loads: EngineLoads): EngineLoads;
  /** Writes loads as columns; engines without a number are left out. */
  formatLoads(loads: EngineLoads): wire.EngineLoads;
  /** Reads such columns. */
  parseLoads(columns: wire.EngineLoads): EngineLoads;
}

/**
 * Makes the numbers, none given.
 *
 * @returns The numbers. None is given twice, so that news that comes late never
 * speaks of another engine.
 * @throws Nothing.
 * @example
 * const numbers = createEngineNumbers();
 * numbers.assign("i-7f3a91c2"); // 1
 */
export function createEngineNumbers(): EngineNumbers {
  const numbers = new Map<string, number>();
  const ids = new Map<number, string>();

  function learn(engineId: string, number: number): void {
    numbers.set(engineId, number);
    ids.set(number, engineId);
  }

  return {
    assign(engineId) {
      const known = numbers.get(engineId);
      if (known !== undefined) return known;
      const number = numbers.size + 1;
      learn(engineId, number);
      return number;
    },
    learn,
    // The leader does not know them: it would tell nobody of their work.
    keepNumbered: (loads) =>
      Object.fromEntries(
        Object.entries(loads).filter(([engineId]) => numbers.has(engineId)),
      ),
    formatLoads(loads) {
      const columns: wire.EngineLoads = {
        engineNumbers: [],
        tokens: [],
        requests: [],
      };
      for (const [engineId, { tokens, requests }] of Object.entries(loads)) {
        const number = numbers.get(engineId);
        if (number === undefined) continue;
        columns.engineNumbers.push(number);
        columns.tokens.push(Math.max(0, Math.round(tokens)));
        columns.requests.push(Math.max(0, requests));
      }
      return columns;
    },
    parseLoads({ engineNumbers, tokens, requests }) {
      const entries = engineNumbers.flatMap((number, at) => {
        const engineId = ids.get(number);
        if (engineId === undefined) return [];
        const load = { tokens: tokens[at] ?? 0, requests: requests[at] ?? 0 };
        return [[engineId, load] as const];
      });
      return Object.fromEntries(entries);
    },
  };
}
