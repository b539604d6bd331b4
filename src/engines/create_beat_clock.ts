/**
 * A clock for the silence of upstreams that stands still while none of them is heard.
 *
 * Beats of all upstreams come over few ways: control processes that pass them on, and
 * their connections to the leader. Where nothing comes at all, such a way is cut or
 * late, and silence says nothing of any single upstream.
 *
 * @module
 */

/** A clock that stands still while no upstream is heard. */
export interface BeatClock {
  /** Ms for which upstreams were heard; it never goes back. */
  now(): number;
  /** Takes note of a beat of any upstream. */
  noteBeat(): void;
}

/** Options of {@link createBeatClock}. */
export interface CreateBeatClockOptions {
  /** Ms for which upstreams could be heard. */
  readonly now: () => number;
  /** Ms without any beat after which the clock stands still. */
  readonly quietMs: number;
  /** Ms after which it goes on all the same: all upstreams may be gone. */
  readonly maxStandMs: number;
}

/**
 * Makes the clock; it goes.
 *
 * @param options - The clock that it follows, and when it stands still.
 * @returns The clock.
 * @throws Nothing.
 * @example
 * const beatClock = createBeatClock({ now, quietMs: 750, maxStandMs: 3_900 });
 */
export function createBeatClock(options: CreateBeatClockOptions): BeatClock {
  const { now, quietMs, maxStandMs } = options;
  let beatMs = now();
  // Time for which it has stood still, before the newest beat.
  let stoodMs = 0;

  function getStandMs(): number {
    return Math.min(maxStandMs, Math.max(0, now() - beatMs - quietMs));
  }

  return {
    now: () => now() - stoodMs - getStandMs(),
    noteBeat() {
      stoodMs += getStandMs();
      beatMs = now();
    },
  };
}
