/**
 * The other gateways to which this one passes requests on.
 *
 * @module
 */

import { choosePeer, type Peer } from "../reachability/index.ts";
import type { GatewayList } from "./create_gateway_list.ts";

/** Dependencies of {@link createPeerList}. */
export interface CreatePeerListOptions {
  readonly self: Pick<Peer, "vm" | "place">;
  readonly gateways: Pick<GatewayList, "list" | "listReady">;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** The other gateways. */
export interface PeerList {
  /** Chooses a peer that serves requests to a service. */
  choose(
    service: string,
    options: { readonly excluded: ReadonlySet<string> },
  ): Peer | undefined;
  /** Whether a peer still has a session with the leader. */
  isListed(vm: string): boolean;
  /** Counts a request that the peer has, until the returned function is called. */
  beginRequest(vm: string): () => void;
  /** Leaves a peer out for a moment, for a service or for all. */
  leaveOut(vm: string, service?: string): void;
}

/** Ms for which a peer that could not take a request is left out. */
const LEFT_OUT_MS = 1_000;

/**
 * Creates the list.
 *
 * @param options - This gateway, all known ones and the clock.
 * @returns The list.
 * @throws Nothing.
 * @example
 * const peer = peers.choose(service, { excluded });
 */
export function createPeerList(options: CreatePeerListOptions): PeerList {
  const { self, gateways, now, random } = options;
  const inFlight = new Map<string, number>();
  const leftOutUntilMs = new Map<string, number>();

  function isLeftOut(vm: string, service: string): boolean {
    return [vm, `${vm} ${service}`].some((key) =>
      (leftOutUntilMs.get(key) ?? -Infinity) > now()
    );
  }

  return {
    choose(service, { excluded }) {
      const ready = gateways.listReady();
      const leftOut = ready.map(({ vm }) => vm)
        .filter((vm) => isLeftOut(vm, service));
      return choosePeer(ready, {
        service,
        self,
        excluded: new Set([...excluded, ...leftOut]),
        getInFlight: (vm) => inFlight.get(vm) ?? 0,
        random,
      });
    },
    isListed: (vm) => gateways.list().some((gateway) => gateway.vm === vm),
    beginRequest(vm) {
      inFlight.set(vm, (inFlight.get(vm) ?? 0) + 1);
      let hasEnded = false;
      return () => {
        if (hasEnded) return;
        hasEnded = true;
        inFlight.set(vm, (inFlight.get(vm) ?? 1) - 1);
      };
    },
    leaveOut(vm, service) {
      const key = service === undefined ? vm : `${vm} ${service}`;
      leftOutUntilMs.set(key, now() + LEFT_OUT_MS);
    },
  };
}
