/**
 * A gateway's session with the leader, without the gateway itself.
 *
 * @module
 */

import {
  createLeaderLink,
  type CreateLeaderLinkOptions,
  type LeaderLink,
} from "../../src/gateway/create_leader_link.ts";

/** Opens a session of a gateway that has nothing to report. */
export function openLink(
  options:
    & Pick<CreateLeaderLinkOptions, "getSeedAddresses">
    & Partial<CreateLeaderLinkOptions>
    & { readonly vm?: string },
): LeaderLink {
  const { vm = "g0", ...given } = options;
  return createLeaderLink({
    getGateway: () => ({
      vm,
      place: "p0",
      address: `${vm}:80`,
      isReady: true,
    }),
    getGatewayCount: () => 0,
    getVersion: () => -1,
    takeSuspects: () => [],
    takeLostEngines: () => [],
    listUnreportedLeaving: () => [],
    takeLimitReports: () => [],
    takeSlowEngines: () => [],
    getLoads: () => ({}),
    processId: "process",
    takeRetryReports: () => ({}),
    takeActivity: () => ({}),
    collectQuarantineUpdate: () => ({}),
    onWelcome: () => {},
    onMessage: () => {},
    onVersionConfirmed: () => {},
    now: () => performance.now(),
    random: () => 1,
    log: () => {},
    ...given,
  });
}
