/**
 * The open runs of one call: the one that serves it, and those that were set aside.
 *
 * @module
 */

/** The open runs of one call. */
export interface OpenRuns<Run> {
  /** The run that serves the call; undefined while another one is looked for. */
  getCurrent(): Run | undefined;
  isOpen(run: Run): boolean;
  /** Whether a run is the current one and no other one is open. */
  isAlone(run: Run): boolean;
  /** Runs that were set aside, oldest first. */
  listSetAside(): readonly Run[];
  /** Adds a run as the current one. */
  add(run: Run): void;
  /** Keeps the current run open while another one is looked for. */
  setAside(run: Run): void;
  /**
   * Makes an open run the current one.
   *
   * @returns The other runs, which no longer count as open.
   */
  resume(run: Run): readonly Run[];
  /** Removes a run that has ended; returns whether it was the current one. */
  remove(run: Run): boolean;
}

/**
 * Creates the open runs of one call, none at first. A run whose upstream is in doubt may
 * go on, and whether another one helps is known only once that one goes on. So a doubt
 * ends no run: the first run to go on ends the others.
 *
 * @returns The open runs.
 * @throws Nothing.
 * @example
 * const runs = createOpenRuns<StreamRun>();
 */
export function createOpenRuns<Run>(): OpenRuns<Run> {
  const setAside = new Set<Run>();
  let current: Run | undefined;
  return {
    getCurrent: () => current,
    isOpen: (run) => run === current || setAside.has(run),
    isAlone: (run) => run === current && setAside.size === 0,
    listSetAside: () => [...setAside],
    add(run) {
      current = run;
    },
    setAside(run) {
      current = undefined;
      setAside.add(run);
    },
    resume(run) {
      const others = [...setAside, ...(current === undefined ? [] : [current])]
        .filter((one) => one !== run);
      setAside.clear();
      current = run;
      return others;
    },
    remove(run) {
      setAside.delete(run);
      const wasCurrent = run === current;
      if (wasCurrent) current = undefined;
      return wasCurrent;
    },
  };
}
