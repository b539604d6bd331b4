/**
 * Finds out whether an upstream has ended, or only a connection to it.
 *
 * @module
 */

import { connect } from "node:net";

/** Whether an upstream's process is there. */
export type UpstreamPresence =
  /** Its machine turns connections down: nothing listens there any more. */
  | "ended"
  /** Something accepts connections. */
  | "listening"
  /** Nothing came back in time: a cut looks the same. */
  | "unknown";

/** An upstream's run and where it listens. */
export interface UpstreamAddress {
  readonly engineId: string;
  /** Host and port. */
  readonly address: string;
}

/** Finds out whether upstreams have ended. */
export interface EndCheck {
  /** Never rejects; who asks at the same time shares the answer. */
  check(upstream: UpstreamAddress): Promise<UpstreamPresence>;
}

/** Opens a connection and says what came of it. */
export type ProbeAddress = (
  address: string,
  options: { readonly timeoutMs: number },
) => Promise<UpstreamPresence>;

/**
 * Ms for a connection to come up or be turned down: a round trip between regions
 * is some 80 ms, within one it takes one or two.
 */
const PROBE_TIMEOUT_MS = 200;

/** Ms for which an answer serves all whose streams broke together. */
const ANSWER_AGE_MS = 500;

/**
 * Makes the check.
 *
 * @param options - The time, and how an address is probed.
 * @returns The check.
 * @throws Nothing.
 * @example
 * const presence = await endCheck.check({ engineId, address });
 */
export function createEndCheck(
  options: {
    /** Monotonic time, in ms. */
    readonly now: () => number;
    readonly probe?: ProbeAddress;
  },
): EndCheck {
  const { now, probe = probeAddress } = options;
  const asked = new Map<
    string,
    { readonly atMs: number; readonly answer: Promise<UpstreamPresence> }
  >();

  function forgetOld(): void {
    for (const [engineId, { atMs }] of asked) {
      if (now() - atMs >= ANSWER_AGE_MS) asked.delete(engineId);
    }
  }

  return {
    check({ engineId, address }) {
      forgetOld();
      const known = asked.get(engineId);
      if (known) return known.answer;
      const answer = probe(address, { timeoutMs: PROBE_TIMEOUT_MS });
      asked.set(engineId, { atMs: now(), answer });
      return answer;
    },
  };
}

/** Opens a connection of its own: a kept one that is reset proves nothing. */
export const probeAddress: ProbeAddress = (address, { timeoutMs }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => end("unknown"), timeoutMs);

    function end(presence: UpstreamPresence): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(presence);
    }

    socket.once("connect", () => end("listening"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        end(error.code === "ECONNREFUSED" ? "ended" : "unknown"),
    );
  });
