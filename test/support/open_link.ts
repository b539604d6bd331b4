/**
 * A gateway's session with the leader, without the gateway itself.
 *
 * @module
 */

import {
  createFleetLink,
  type CreateFleetLinkOptions,
  type FleetLink,
} from "../../src/gateway/create_fleet_link.ts";

/** Opens a session of a gateway that has nothing to report. */
export function openLink(
  options:
    & Pick<CreateFleetLinkOptions, "getSeedAddresses">
    & Partial<CreateFleetLinkOptions>
    & { readonly vm?: string },
): FleetLink {
  const { vm = "g0", ...given } = options;
  return createFleetLink({
    getGateway: () => ({
      vm,
      place: "p0",
      address: `${vm}:80`,
      isReady: true,
    }),
    getGatewayCount: () => 0,
    getVersion: () => -1,
    takeSuspects: () => [],
    takeLost: () => [],
    listLeaves: () => [],
    takeLimitReports: () => [],
    takeSlow: () => [],
    getLoads: () => ({}),
    getRepeatsWanted: () => ({}),
    takeActivity: () => ({}),
    getQuarantineNews: () => ({}),
    onWelcome: () => {},
    onMessage: () => {},
    onConfirmed: () => {},
    now: () => performance.now(),
    random: () => 1,
    log: () => {},
    ...given,
  });
}
