/**
 * The numbered events that the programs log. `docs/EVENTS.md` lists them.
 *
 * @module
 */

/** Least levels of a log. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

/** A log level. */
export type LogLevel = typeof LOG_LEVELS[number];

/** One kind of event: its number, level and meaning. */
export interface EventKind {
  readonly id: string;
  readonly level: LogLevel;
  readonly text: string;
}

function event(id: string, level: LogLevel, text: string): EventKind {
  return { id, level, text };
}

/** All events. CL10: processes, 11: storage, 12: quorum, 13: resources, 14: agents, 15: requests, 16: upstreams, 17: fleet, 18: calls. */
export const EVENTS = {
  started: event("CL1001", "info", "Process started"),
  stopping: event("CL1002", "info", "Planned stop began"),
  stopped: event("CL1003", "info", "Process ended"),
  signalRepeated: event(
    "CL1004",
    "warn",
    "Stop signal repeated; already stopping",
  ),
  drainTimedOut: event(
    "CL1005",
    "error",
    "Requests were still in flight when the drain time ran out",
  ),
  settingsWrong: event("CL1006", "error", "Settings are wrong"),
  internalError: event("CL1007", "error", "Unexpected error"),
  tlsReloaded: event("CL1008", "info", "TLS files were loaded again"),
  tlsReloadFailed: event(
    "CL1009",
    "error",
    "TLS files could not be loaded; the old ones stay in use",
  ),
  startFailed: event("CL1010", "error", "Process could not start"),
  tornTailCut: event("CL1101", "warn", "Torn tail of the log was cut off"),
  diskFull: event("CL1102", "error", "Disk refuses writes; trying again"),
  diskBack: event("CL1103", "info", "Disk takes writes again"),
  snapshotSaved: event("CL1104", "info", "Snapshot saved"),
  clusterFormed: event("CL1201", "info", "Cluster formed"),
  clusterJoined: event("CL1202", "info", "Joined the cluster as a learner"),
  roleChanged: event("CL1203", "info", "Quorum role changed"),
  membersChanged: event("CL1204", "info", "Quorum membership changes"),
  snapshotSent: event("CL1205", "info", "Snapshot sent to a replica"),
  snapshotInstalled: event("CL1206", "info", "Snapshot installed"),
  foreignPeer: event(
    "CL1207",
    "warn",
    "Message of another cluster or replica dropped",
  ),
  invariantBroken: event("CL1208", "error", "Invariant broken"),
  changeAccepted: event("CL1301", "info", "Change accepted"),
  changeConflict: event(
    "CL1302",
    "info",
    "Change turned down: the resource has another revision",
  ),
  operatorRefused: event("CL1303", "warn", "Operator refused"),
  entryJoined: event("CL1401", "info", "Entry is live"),
  entryLost: event("CL1402", "warn", "Entry's lease ran out"),
  entryLeaving: event("CL1403", "info", "Entry is leaving"),
  controlConnected: event(
    "CL1404",
    "info",
    "Session with the control leader opened",
  ),
  controlLost: event("CL1405", "warn", "Session with control lost"),
  configApplied: event("CL1406", "info", "Configuration in force here"),
  configStale: event("CL1407", "warn", "Older configuration ignored"),
  platformListFailed: event(
    "CL1408",
    "warn",
    "Platform's list could not be read",
  ),
  requestRefused: event("CL1501", "info", "Request refused"),
  requestEnded: event("CL1502", "debug", "Request ended"),
  requestFailed: event("CL1503", "warn", "Request came to a bad end"),
  pipelineInvariant: event(
    "CL1504",
    "error",
    "Pipeline invariant broken; the request ends as failed",
  ),
  upstreamRetry: event("CL1601", "info", "Request is tried again"),
  upstreamEjected: event("CL1602", "warn", "Upstream is left out for a while"),
  chainRepaired: event("CL1603", "info", "Pipeline goes on over another stage"),
  lateFrame: event("CL1604", "debug", "Late answer of an older epoch dropped"),
  gatewayJoined: event("CL1701", "info", "Gateway opened a session"),
  gatewayLost: event("CL1702", "warn", "Gateway's session ended"),
  engineJoined: event("CL1703", "info", "Upstream registered"),
  engineChanged: event("CL1704", "info", "Upstream changed"),
  engineLost: event("CL1705", "warn", "Upstream is no longer counted on"),
  engineLeaves: event("CL1706", "info", "Upstream's leave is recorded"),
  layersOrdered: event("CL1707", "info", "Engine was ordered to hold layers"),
  configAccepted: event("CL1708", "info", "Whole configuration accepted"),
  configInvalid: event("CL1709", "warn", "Whole configuration is invalid"),
  callFailed: event("CL1710", "warn", "Leader could not answer a call"),
  membersNotChanged: event(
    "CL1711",
    "warn",
    "Quorum membership could not be changed",
  ),
  engineSuspected: event("CL1712", "warn", "Upstream is left out for a while"),
  enginesNotRecorded: event(
    "CL1713",
    "warn",
    "Upstreams heard of could not be recorded",
  ),
  controlNotReached: event(
    "CL1731",
    "info",
    "Control process did not take this gateway in; another one is asked",
  ),
  gatewaysNotRecorded: event(
    "CL1729",
    "warn",
    "Gateways counted on could not be recorded",
  ),
  gatewaysCounted: event(
    "CL1730",
    "info",
    "New leader has heard of the recorded gateways, or waits for the rest no longer",
  ),
  configChangeUnfit: event(
    "CL1715",
    "error",
    "Change of a configuration is from another version; the whole is asked for",
  ),
  engineFoundLost: event(
    "CL1714",
    "warn",
    "Gateways of a data centre found upstreams lost",
  ),
  casesNotRecorded: event(
    "CL1716",
    "warn",
    "News of suspected requests could not be recorded",
  ),
  requestConvicted: event(
    "CL1717",
    "error",
    "Request ends upstreams that run it; it is held back",
  ),
  trialGranted: event("CL1718", "warn", "Suspected request runs on trial"),
  casesCleared: event(
    "CL1719",
    "info",
    "Requests are no longer suspected of ending upstreams",
  ),
  callSent: event("CL1801", "info", "Request was sent to an upstream"),
  callNotRun: event("CL1802", "info", "Upstream did not run the request"),
  callBroken: event("CL1803", "info", "Answer broke off or failed"),
  callGivenUp: event("CL1804", "info", "Nowhere is left to send the request"),
  callEnded: event("CL1805", "info", "Request ended"),
  callEndedBadly: event("CL1808", "warn", "Request came to a bad end"),
  engineAsked: event("CL1806", "info", "Engine gave no report"),
  pathChanged: event("CL1807", "info", "Running request changed its path"),
  upstreamEnded: event(
    "CL1809",
    "warn",
    "Upstream ended when it had just begun a request",
  ),
  entryUnreadable: event(
    "CL1720",
    "warn",
    "Heartbeat or configuration can't be read; it says nothing",
  ),
  serviceUnknown: event(
    "CL1721",
    "warn",
    "Upstream of a service that is not configured is left out",
  ),
  engineAsksForBackOff: event(
    "CL1722",
    "warn",
    "Upstream turned this gateway away and asks it for a back-off",
  ),
  engineSaysLeaving: event(
    "CL1723",
    "info",
    "Upstream says in an answer that it leaves",
  ),
  engineLimited: event(
    "CL1724",
    "warn",
    "Upstream takes so many requests a second from all gateways",
  ),
  engineNotLimited: event("CL1725", "info", "Upstream is no longer limited"),
  limitInForce: event(
    "CL1726",
    "info",
    "Rate limit of an upstream came into force, changed or ended",
  ),
  callNotGranted: event(
    "CL1812",
    "info",
    "Request was not granted a send to an upstream at its rate limit",
  ),
  callWithheld: event(
    "CL1811",
    "info",
    "Request had not left yet when its upstream asked for a back-off or left",
  ),
  runsSpent: event(
    "CL1813",
    "warn",
    "Request ran on as many upstreams as its route allows; it goes on nowhere",
  ),
  requestHeldBack: event(
    "CL1810",
    "warn",
    "Request is held back: upstreams ended under it",
  ),
  linesDropped: event(
    "CL1012",
    "warn",
    "Log lines were dropped: too many, or their reader is slow",
  ),
  settingsChanged: event("CL1011", "info", "Settings were read again"),
  loopDelayed: event(
    "CL1013",
    "warn",
    "Event loop stood still: nothing else could run meanwhile",
  ),
  configPublished: event(
    "CL1727",
    "info",
    "Configuration was written to the gateways' sessions",
  ),
  configInForce: event(
    "CL1728",
    "info",
    "Configuration is in force at all gateways with a session",
  ),
} as const;

/** The short name of an event. */
export type EventName = keyof typeof EVENTS;
