/**
 * Short numbers for engines within one session, so that updates of their loads name
 * each in a byte or two instead of its id.
 *
 * @module
 */

import type { wire } from "../wire/index.ts";
import type { EngineLoads } from "./messages.ts";

/** The numbers of engines within a session. */
export interface EngineNumbers {
  /** Gets an engine's number, or assigns the next one. */
  assign(engineId: string): number;
  /** Stores a number that the other side assigned. */
  learn(engineId: string, number: number): void;
  /** Filters out the loads of engines without a number. */
  filterNumbered(loads: EngineLoads): EngineLoads;
  /** Encodes loads as columns; engines without a number are left out. */
  formatLoads(loads: EngineLoads): wire.EngineLoads;
  /** Decodes such columns; unknown numbers are left out. */
  parseLoads(columns: wire.EngineLoads): EngineLoads;
}

/**
 * Creates an empty numbering.
 *
 * @returns The numbering. No number is assigned twice, so that a late update never
 * refers to another engine.
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
    // The leader doesn't know engines without a number and couldn't publish their loads.
    filterNumbered: (loads) =>
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
