/**
 * Limits the bytes of request bodies that this process holds. Answers have an account
 * of their own: a body is held until its answer is complete, so bodies that used up a
 * common account would keep out the answers that release them.
 *
 * @module
 */

/** The memory of one body; disposing of it releases it. */
export interface BodyHold extends Disposable {
  /** Whether there is room for a body of this size now. */
  hasRoomFor(bytes: number): boolean;
  /** Charges more bytes; false, and nothing is charged, if there is no room. */
  add(bytes: number): boolean;
}

/** The memory of all bodies. */
export interface BodyMemory {
  open(): BodyHold;
  getTotal(): number;
}

/** Bodies up to this size may use the whole limit. */
const SMALL_BYTES = 65_536;

/** Share of the limit that larger bodies may use. */
const LARGE_SHARE = 0.75;

/**
 * Creates the account, empty at first. There is always room for the oldest large body,
 * so that bodies larger than the limit are possible one at a time; the total exceeds
 * the limit by one body at most.
 *
 * @param options - Bytes held of all bodies.
 * @returns The account.
 * @throws Nothing.
 * @example
 * using hold = createBodyMemory({ maxBytes: 67_108_864 }).open();
 */
export function createBodyMemory(
  { maxBytes }: { readonly maxBytes: number },
): BodyMemory {
  interface Entry {
    bytes: number;
  }
  const large = new Set<Entry>();
  let totalBytes = 0;

  function hasRoom(entry: Entry, bytes: number): boolean {
    const isLarge = entry.bytes + bytes > SMALL_BYTES;
    const [oldest = entry] = large;
    if (isLarge && oldest === entry) return true;
    return totalBytes + bytes <= (isLarge ? LARGE_SHARE * maxBytes : maxBytes);
  }

  return {
    getTotal: () => totalBytes,
    open() {
      const entry: Entry = { bytes: 0 };
      let isReleased = false;
      return {
        hasRoomFor: (bytes) => hasRoom(entry, bytes),
        add(bytes) {
          if (isReleased || !hasRoom(entry, bytes)) return false;
          entry.bytes += bytes;
          totalBytes += bytes;
          if (entry.bytes > SMALL_BYTES) large.add(entry);
          return true;
        },
        [Symbol.dispose]() {
          if (isReleased) return;
          isReleased = true;
          totalBytes -= entry.bytes;
          large.delete(entry);
        },
      };
    },
  };
}
