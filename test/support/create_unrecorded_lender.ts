import { createRetryLender, type RetryLender } from "../../src/fleet/index.ts";
import type { RetryLimits } from "../../src/retry/index.ts";

/** Creates the retry lender of a leader whose ceilings are in force at once. */
export function createUnrecordedLender(limits: RetryLimits): RetryLender {
  const ceilings = new Map<string, number>();
  const lender = createRetryLender({
    ...limits,
    getCeilings: () => ceilings,
    propose(command) {
      if (command.type === "retryCeilings") {
        command.ceilings.forEach(([service, ceiling]) =>
          ceilings.set(service, ceiling)
        );
      }
      return Promise.resolve();
    },
    hasLease: () => true,
    now: () => performance.now(),
    log: () => {},
  });
  lender.beginTerm();
  return lender;
}
