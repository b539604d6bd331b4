/**
 * Limits the bytes of answers that this process holds until they are complete.
 *
 * @module
 */

/** An answer that is being received. */
export interface AnswerSource {
  /** Upstream that sends it. */
  readonly upstreamId: string;
  /** Stops reading it. */
  pause(): void;
  resume(): void;
}

/** The bytes held of one answer; disposing of it releases them. */
export interface Hold extends Disposable {
  add(bytes: number): void;
  /** Records that all of the answer has arrived; its bytes stay held. */
  end(): void;
}

/** The bytes held of all answers. */
export interface HeldBytes {
  open(source: AnswerSource): Hold;
  getTotal(): number;
}

/** Answers up to this size are never paused. */
const EXEMPT_BYTES = 65_536;

/** Multiple of the limit that complete answers may take until nothing more is read. */
const COMPLETE_FACTOR = 2;

/** Share of the limit that the answers of one upstream may take. */
const UPSTREAM_SHARE = 0.25;

/**
 * Creates the account, empty at first. Beyond the limit, only the oldest answer is read
 * on, so that one after the other can be completed; beyond the share of an upstream, only
 * its oldest one. Answers that are complete and unread pause it, too, once they
 * reach twice the limit. The total stays below three times the limit and two answers,
 * but for those that are never paused.
 *
 * @param options - Bytes above which reading pauses.
 * @returns The account.
 * @throws Nothing.
 * @example
 * using hold = createHeldBytes({ maxBytes: 67_108_864 }).open(source);
 */
export function createHeldBytes(
  { maxBytes }: { readonly maxBytes: number },
): HeldBytes {
  interface Entry {
    readonly source: AnswerSource;
    bytes: number;
    isPaused: boolean;
  }
  const receiving = new Set<Entry>();
  const bytesByUpstream = new Map<string, number>();
  let totalBytes = 0;
  let completeBytes = 0;

  function change(entry: Entry, bytes: number): void {
    const { upstreamId } = entry.source;
    entry.bytes += bytes;
    totalBytes += bytes;
    const ofUpstream = (bytesByUpstream.get(upstreamId) ?? 0) + bytes;
    if (ofUpstream === 0) bytesByUpstream.delete(upstreamId);
    else bytesByUpstream.set(upstreamId, ofUpstream);
  }

  function mayRead(entry: Entry): boolean {
    if (entry.bytes <= EXEMPT_BYTES) return true;
    // Complete answers are released by their callers, not by reading on.
    if (entry === findOldest()) {
      return completeBytes < COMPLETE_FACTOR * maxBytes;
    }
    if (totalBytes >= maxBytes) return false;
    const { upstreamId } = entry.source;
    const ofUpstream = bytesByUpstream.get(upstreamId) ?? 0;
    return ofUpstream < UPSTREAM_SHARE * maxBytes ||
      entry === findOldest(upstreamId);
  }

  // Answers of which nothing is held yet don't count as the oldest: a silent upstream
  // would keep all others waiting.
  function findOldest(upstreamId?: string): Entry | undefined {
    for (const entry of receiving) {
      const { source, bytes } = entry;
      if (upstreamId !== undefined && source.upstreamId !== upstreamId) {
        continue;
      }
      if (bytes > EXEMPT_BYTES) return entry;
    }
  }

  function resumePaused(): void {
    for (const entry of receiving) {
      if (!entry.isPaused || !mayRead(entry)) continue;
      entry.isPaused = false;
      entry.source.resume();
    }
  }

  return {
    getTotal: () => totalBytes,
    open(source) {
      const entry: Entry = { source, bytes: 0, isPaused: false };
      let isReleased = false;
      receiving.add(entry);

      function end(): void {
        if (!receiving.delete(entry)) return;
        completeBytes += entry.bytes;
        resumePaused();
      }

      return {
        end,
        add(bytes) {
          if (isReleased) return;
          change(entry, bytes);
          if (entry.isPaused || mayRead(entry)) return;
          entry.isPaused = true;
          source.pause();
        },
        [Symbol.dispose]() {
          if (isReleased) return;
          isReleased = true;
          if (!receiving.delete(entry)) completeBytes -= entry.bytes;
          change(entry, -entry.bytes);
          resumePaused();
        },
      };
    },
  };
}
