/**
 * Divides the descriptors of a process among its servers.
 *
 * @module
 */

/** Most connections of clients to each server of a process. */
export interface ConnectionShares {
  /** Callers of a gateway; each of their requests may take another connection. */
  readonly callers: number;
  readonly directory: number;
  readonly readiness: number;
  readonly metrics: number;
  /** Upstreams and operators of a control process. */
  readonly control: number;
}

/** Descriptors for files and for the process itself. */
const RESERVED = 200;

/** Parts of the rest; what is left is for connections to upstreams and other processes. */
const PARTS: ConnectionShares = {
  callers: 0.45,
  directory: 0.1,
  readiness: 0.025,
  metrics: 0.025,
  control: 0.6,
};

/**
 * Divides descriptors.
 *
 * @param descriptors - Descriptors that the process may have open.
 * @returns The connections of each server, at least one.
 * @throws Nothing.
 * @example
 * const { callers } = shareConnections(4_100);
 */
export function shareConnections(descriptors: number): ConnectionShares {
  const share = (part: number) =>
    Math.max(1, Math.floor(part * (descriptors - RESERVED)));
  return {
    callers: share(PARTS.callers),
    directory: share(PARTS.directory),
    readiness: share(PARTS.readiness),
    metrics: share(PARTS.metrics),
    control: share(PARTS.control),
  };
}
