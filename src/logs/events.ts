/**
 * The numbered events that the programs log. `docs/EVENTS.md` lists them.
 *
 * @module
 */

/** Log levels, least severe first. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

/** A log level. */
export type LogLevel = typeof LOG_LEVELS[number];

/** One kind of event: its number, level and text. */
export interface EventKind {
  readonly id: string;
  readonly level: LogLevel;
  readonly text: string;
}

function event(id: string, level: LogLevel, text: string): EventKind {
  return { id, level, text };
}

/**
 * All events. CL10: processes, 11: storage, 12: quorum, 13: resources, 14: sessions
 * of entries, 15: requests, 16: upstreams, 17: fleet, 18: calls of gateways.
 */
export const EVENTS = {
  started: event("CL1001", "info", "Process started"),
  stopping: event("CL1002", "info", "Graceful shutdown started"),
  stopped: event("CL1003", "info", "Process stopped"),
  signalRepeated: event(
    "CL1004",
    "warn",
    "Stop signal repeated; already stopping",
  ),
  drainTimedOut: event(
    "CL1005",
    "error",
    "Drain timed out with requests still in flight",
  ),
  settingsWrong: event("CL1006", "error", "Settings are invalid"),
  internalError: event("CL1007", "error", "Unexpected error"),
  tlsReloaded: event("CL1008", "info", "TLS files were reloaded"),
  tlsReloadFailed: event(
    "CL1009",
    "error",
    "TLS files could not be reloaded; the previous ones stay in use",
  ),
  startFailed: event("CL1010", "error", "Process could not start"),
  failed: event("CL1015", "error", "Process ends after an unexpected error"),
  startCounted: event(
    "CL1016",
    "info",
    "Starts counted, with the end of the process before",
  ),
  endNotRecorded: event(
    "CL1017",
    "warn",
    "The reason of an end can't be stored for the next start",
  ),
  addressInUse: event(
    "CL1014",
    "warn",
    "Another process uses an address of this one; waiting until it is free",
  ),
  streamFailed: event(
    "CL1018",
    "warn",
    "Standard output or error can't be written; its reader may be gone",
  ),
  settingsKept: event(
    "CL1019",
    "info",
    "SIGHUP changes nothing: settings are read at the start, TLS files by themselves",
  ),
  tornTailCut: event(
    "CL1101",
    "warn",
    "Incomplete last record of the log was truncated",
  ),
  diskFull: event("CL1102", "error", "Disk write failed; retrying"),
  diskBack: event("CL1103", "info", "Disk writes succeed again"),
  snapshotSaved: event("CL1104", "info", "Snapshot saved"),
  damageReplaced: event(
    "CL1105",
    "error",
    "Data folder is damaged; its files are moved away, joining with a new identity",
  ),
  clusterFormed: event("CL1201", "info", "Cluster formed"),
  clusterJoined: event("CL1202", "info", "Joined the cluster as a learner"),
  roleChanged: event("CL1203", "info", "Quorum role changed"),
  membersChanged: event("CL1204", "info", "Changing the quorum membership"),
  snapshotSent: event("CL1205", "info", "Snapshot sent to a replica"),
  snapshotInstalled: event("CL1206", "info", "Snapshot installed"),
  foreignPeer: event(
    "CL1207",
    "warn",
    "Dropped a message that belongs to another cluster or replica",
  ),
  invariantBroken: event("CL1208", "error", "Invariant violated"),
  toleratedLossesChanged: event(
    "CL1209",
    "info",
    "Number of further losses that the quorum tolerates has changed",
  ),
  leaderSilent: event(
    "CL1210",
    "info",
    "No leader is in contact; requesting to be a member",
  ),
  clusterFormable: event(
    "CL1211",
    "info",
    "No seed has a cluster after an interrupted first start; forming it",
  ),
  rpcFailed: event("CL1212", "warn", "Call of another process failed"),
  messageFailed: event(
    "CL1213",
    "warn",
    "Message of another process could not be handled; its stream is closed",
  ),
  snapshotNotSent: event(
    "CL1214",
    "warn",
    "Snapshot could not be sent to a replica",
  ),
  changeAccepted: event("CL1301", "info", "Change accepted"),
  changeConflict: event(
    "CL1302",
    "info",
    "Change rejected: the resource has another revision",
  ),
  operatorRefused: event(
    "CL1303",
    "warn",
    "Operator request rejected: not authenticated or not allowed",
  ),
  entryJoined: event("CL1401", "info", "Entry joined"),
  entryLost: event("CL1402", "warn", "Entry's lease expired"),
  entryLeaving: event("CL1403", "info", "Entry is leaving"),
  controlConnected: event(
    "CL1404",
    "info",
    "Session with the control leader opened",
  ),
  controlLost: event("CL1405", "warn", "Session with control lost"),
  configApplied: event("CL1406", "info", "Configuration applied"),
  configStale: event("CL1407", "warn", "Older configuration ignored"),
  platformListFailed: event(
    "CL1408",
    "warn",
    "Platform's list of VMs could not be read",
  ),
  requestRefused: event("CL1501", "info", "Request rejected"),
  requestEnded: event("CL1502", "debug", "Request ended"),
  requestFailed: event("CL1503", "warn", "Request failed"),
  pipelineInvariant: event(
    "CL1504",
    "error",
    "Pipeline invariant violated; the request fails",
  ),
  upstreamRetry: event("CL1601", "info", "Request is retried"),
  upstreamEjected: event("CL1602", "warn", "Upstream is left out for a while"),
  chainRepaired: event(
    "CL1603",
    "info",
    "Pipeline continues with a replacement stage",
  ),
  lateFrame: event(
    "CL1604",
    "debug",
    "Dropped a late answer of an older epoch",
  ),
  gatewayJoined: event("CL1701", "info", "Gateway opened a session"),
  gatewayLost: event("CL1702", "warn", "Gateway's session ended"),
  engineJoined: event("CL1703", "info", "Upstream registered"),
  engineChanged: event("CL1704", "info", "Upstream changed"),
  engineLost: event("CL1705", "warn", "Upstream is no longer counted on"),
  engineLeaves: event("CL1706", "info", "Upstream's departure was recorded"),
  layersOrdered: event("CL1707", "info", "Engine was ordered to load layers"),
  configAccepted: event("CL1708", "info", "Full configuration accepted"),
  configInvalid: event("CL1709", "warn", "Full configuration is invalid"),
  callFailed: event("CL1710", "warn", "Leader failed to answer a call"),
  membersNotChanged: event(
    "CL1711",
    "warn",
    "Quorum membership could not be changed",
  ),
  engineSuspected: event("CL1712", "warn", "Upstream is left out for a while"),
  engineReadmitted: event(
    "CL1735",
    "info",
    "Upstream that was left out answers and is used again: requests found no path without it",
  ),
  enginesNotRecorded: event(
    "CL1713",
    "warn",
    "Reported upstreams could not be recorded",
  ),
  controlNotReached: event(
    "CL1731",
    "info",
    "Control process did not accept this gateway; trying another one",
  ),
  gatewaysNotRecorded: event(
    "CL1729",
    "warn",
    "Connected gateways could not be recorded",
  ),
  gatewaysCounted: event(
    "CL1730",
    "info",
    "New leader has stopped waiting: all recorded gateways reported, or the wait timed out",
  ),
  configChangeUnfit: event(
    "CL1715",
    "error",
    "Configuration change is based on another version; requesting the full configuration",
  ),
  engineFoundLost: event(
    "CL1714",
    "warn",
    "Gateways of a data centre reported failed upstreams",
  ),
  casesNotRecorded: event(
    "CL1716",
    "warn",
    "Updates about suspected requests could not be recorded",
  ),
  requestConvicted: event(
    "CL1717",
    "error",
    "Request, or part of prompts, crashes the upstreams that run it; it is held back",
  ),
  trialGranted: event(
    "CL1718",
    "warn",
    "Suspected request was granted a trial run",
  ),
  casesCleared: event(
    "CL1719",
    "info",
    "Requests or parts of prompts are no longer suspected of crashing upstreams",
  ),
  crashesRefuted: event(
    "CL1734",
    "info",
    "Upstream whose crash was reported still sends heartbeats; the reports are withdrawn",
  ),
  partsProved: event(
    "CL1736",
    "info",
    "Upstreams ran requests with suspected parts of prompts; the crash reports are withdrawn",
  ),
  retriesLent: event(
    "CL1737",
    "info",
    "Leader lent a gateway retries of a service's budget",
  ),
  retryCeilingsNotRecorded: event(
    "CL1738",
    "warn",
    "Ceilings of lent retries could not be recorded",
  ),
  configUnreadable: event(
    "CL1739",
    "error",
    "Gateway can't read a configuration that was accepted; it keeps the one before",
  ),
  callSent: event("CL1801", "info", "Request was sent to an upstream"),
  callNotRun: event("CL1802", "info", "Upstream did not run the request"),
  callBroken: event("CL1803", "info", "Answer broke off or failed"),
  callGivenUp: event(
    "CL1804",
    "info",
    "No upstream is left to which the request can be sent",
  ),
  callEnded: event("CL1805", "info", "Request ended"),
  callEndedBadly: event("CL1808", "warn", "Request ended with a failure"),
  engineAsked: event("CL1806", "info", "Engine gave no report"),
  pathChanged: event("CL1807", "info", "Running request moved to another path"),
  upstreamEndSuspected: event(
    "CL1817",
    "warn",
    "Upstream refuses connections just after it began a request; counted as a crash until its heartbeats show otherwise",
  ),
  upstreamEnded: event(
    "CL1809",
    "warn",
    "Upstream crashed just after it began a request",
  ),
  probeUnanswered: event(
    "CL1818",
    "info",
    "Engine did not answer a probe in time",
  ),
  entryUnreadable: event(
    "CL1720",
    "warn",
    "Unreadable heartbeat or configuration entry ignored",
  ),
  serviceUnknown: event(
    "CL1721",
    "warn",
    "Upstream ignored: its service is not configured",
  ),
  engineAsksForBackOff: event(
    "CL1722",
    "warn",
    "Upstream rejected a request and asked this gateway to back off",
  ),
  engineSaysLeaving: event(
    "CL1723",
    "info",
    "Upstream announced in an answer that it is leaving",
  ),
  engineLimited: event(
    "CL1724",
    "warn",
    "Upstream has a rate limit over all gateways, in requests per second",
  ),
  engineNotLimited: event(
    "CL1725",
    "info",
    "Upstream no longer has a rate limit",
  ),
  limitInForce: event(
    "CL1726",
    "info",
    "Rate limit of an upstream was set, changed or removed",
  ),
  callNotGranted: event(
    "CL1812",
    "info",
    "Request was denied an upstream that is at its rate limit",
  ),
  callWithheld: event(
    "CL1811",
    "info",
    "Request was withheld: its upstream backed off or left before it was sent",
  ),
  connectionFailed: event(
    "CL1814",
    "info",
    "No connection to an upstream; nothing of the request was sent",
  ),
  callForwarded: event(
    "CL1815",
    "info",
    "Request was passed on to another gateway",
  ),
  forwardingFailed: event(
    "CL1816",
    "info",
    "Another gateway did not serve a request that was passed on to it",
  ),
  serviceCutOff: event(
    "CL1732",
    "warn",
    "No upstream of the service can be reached from here; requests go to other gateways",
  ),
  serviceReached: event(
    "CL1733",
    "info",
    "Upstreams of the service can be reached again",
  ),
  runsSpent: event(
    "CL1813",
    "warn",
    "Request ran on as many upstreams as its route allows; not retried",
  ),
  runStranded: event(
    "CL1819",
    "info",
    "Running request has an engine that fails or does not answer, and can't be moved",
  ),
  runWentOn: event(
    "CL1820",
    "info",
    "Running request goes on after an engine of it did not answer",
  ),
  upstreamLimitExceeded: event(
    "CL1821",
    "warn",
    "Upstream sent more than a limit allows; its connection was closed",
  ),
  requestHeldBack: event(
    "CL1810",
    "warn",
    "Request is held back: upstreams crashed while running it",
  ),
  linesDropped: event(
    "CL1012",
    "warn",
    "Log lines were dropped: rate limit exceeded or slow reader",
  ),
  settingsChanged: event("CL1011", "info", "Settings were reloaded"),
  loopDelayed: event(
    "CL1013",
    "warn",
    "Event loop was blocked",
  ),
  configPublished: event(
    "CL1727",
    "info",
    "Configuration was sent to the gateways' sessions",
  ),
  configInForce: event(
    "CL1728",
    "info",
    "Configuration is applied at all gateways with a session",
  ),
} as const;

/** The short name of an event. */
export type EventName = keyof typeof EVENTS;
