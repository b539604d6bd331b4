/**
 * Chooses the gateway that serves a request for one that is cut off from the service.
 *
 * @module
 */

/** A gateway that may serve for another. */
export interface Peer {
  readonly vm: string;
  readonly place: string;
  /** Host and port where it accepts callers. */
  readonly address: string;
  readonly isReady: boolean;
  /** Services whose upstreams it can't reach; absent if none. */
  readonly cutOffServices?: readonly string[];
}

/** What the choice depends on. */
export interface ChoosePeerOptions {
  readonly service: string;
  /** The gateway that chooses. */
  readonly self: Pick<Peer, "vm" | "place">;
  /** VMs that can't be used now. */
  readonly excluded: ReadonlySet<string>;
  /** Requests that this gateway has in flight at a peer. */
  readonly getInFlight: (vm: string) => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/**
 * Chooses a peer that reaches the service. Peers in the same data centre come first,
 * but each of them takes the load of one gateway only: where more are cut off than
 * can help, the rest of the requests goes to other data centres.
 *
 * @param gateways - All known gateways.
 * @param options - The service, who asks, and the load at each peer.
 * @returns The peer, or undefined if none can serve.
 * @throws Nothing.
 * @example
 * const peer = choosePeer(gateways.list(), options);
 */
export function choosePeer(
  gateways: readonly Peer[],
  options: ChoosePeerOptions,
): Peer | undefined {
  const { service, self, excluded, random } = options;
  const isCutOff = ({ cutOffServices = [] }: Peer) =>
    cutOffServices.includes(service);
  const others = gateways.filter(({ vm, isReady }) =>
    isReady && vm !== self.vm
  );
  const candidates = others.filter((one) =>
    !isCutOff(one) && !excluded.has(one.vm)
  );
  const isNear = ({ place }: Peer) => place === self.place;
  const near = candidates.filter(isNear);
  const far = candidates.filter((one) => !isNear(one));
  const cutOffNear = 1 + others.filter(isNear).filter(isCutOff).length;
  const staysNear = far.length === 0 || random() < near.length / cutOffNear;
  return chooseLeastLoaded(staysNear ? near : far, options);
}

// The less loaded one of two drawn at random: always taking the least loaded one
// would send all gateways that are cut off to the same peer.
function chooseLeastLoaded(
  peers: readonly Peer[],
  { getInFlight, random }: ChoosePeerOptions,
): Peer | undefined {
  const draw = () => peers[Math.floor(random() * peers.length)];
  const [first, second] = [draw(), draw()];
  if (first === undefined || second === undefined) return undefined;
  return getInFlight(second.vm) < getInFlight(first.vm) ? second : first;
}
