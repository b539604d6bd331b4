/**
 * The settings of each program. Types are inferred from the schemas. Names of
 * fields end in their unit; descriptions and defaults are part of the schema.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { Value } from "typebox/value";
import { NameSchema } from "../model/index.ts";

const HostPort = Type.String({
  pattern: "^[0-9A-Za-z.:\\[\\]-]+:\\d{1,5}$",
  description: "Host or IP address, and port",
});

const Listen = Type.Object({
  host: Type.String({
    default: "127.0.0.1",
    description: "IP address to listen on",
  }),
  port: Type.Integer({
    minimum: 0,
    maximum: 65_535,
    description: "Port; 0 selects a free one",
  }),
}, { additionalProperties: false });

const LogSettings = Type.Object({
  level: Type.Union(
    ["debug", "info", "warn", "error"].map((level) => Type.Literal(level)),
    { default: "info", description: "Minimum level that is logged" },
  ),
  format: Type.Union(
    [Type.Literal("text"), Type.Literal("json")],
    { default: "text", description: "Format of log lines, one per event" },
  ),
}, { additionalProperties: false, default: {} });

const MetricsSettings = Type.Object({
  host: Type.String({
    default: "",
    description: "StatsD host; if empty, no metrics are sent",
  }),
  port: Type.Integer({
    minimum: 1,
    maximum: 65_535,
    default: 8125,
    description: "StatsD port",
  }),
}, { additionalProperties: false, default: {} });

const TlsFiles = Type.Object({
  keyFile: Type.String({ description: "Private key, PEM" }),
  certificateFile: Type.String({ description: "Certificate chain, PEM" }),
  authorityFile: Type.Optional(
    Type.String({
      description:
        "CA certificates that the peer's certificate is verified against, PEM",
    }),
  ),
}, { additionalProperties: false });

/** Key, certificate and CA files for TLS. */
export type TlsFilesSettings = Static<typeof TlsFiles>;

const common = {
  fleetId: Type.String({
    minLength: 1,
    description:
      "Identifier of the fleet; processes of another fleet are rejected",
  }),
  vm: NameSchema,
  place: NameSchema,
  logs: LogSettings,
  metrics: MetricsSettings,
  peerTls: Type.Optional(TlsFiles),
  callerTls: Type.Optional(TlsFiles),
};

const Limits = Type.Object({
  bodyBytes: Type.Integer({
    minimum: 1,
    default: 1_048_576,
    description: "Largest request body, in bytes",
  }),
  headerBytes: Type.Integer({
    minimum: 1_024,
    default: 16_384,
    description: "Largest header section of a request, in bytes",
  }),
  requestTimeoutMs: Type.Integer({
    minimum: 1,
    default: 10_000,
    description: "Time within which a caller must send the complete request",
  }),
  idleTimeoutMs: Type.Integer({
    minimum: 1,
    default: 72_000,
    description: "Time after which an idle connection is closed",
  }),
}, { additionalProperties: false, default: {} });

/** Limits on what upstreams and peers may send. */
export const UpstreamLimitsSchema = Type.Object({
  answerBytes: Type.Integer({
    minimum: 1_024,
    default: 16_777_216,
    description:
      "Largest answer that is forwarded once it is complete, in bytes; streams are not limited",
  }),
  heldBytes: Type.Integer({
    minimum: 65_536,
    default: 67_108_864,
    description:
      "Bytes of such answers that a process holds in all; reading pauses beyond it",
  }),
  withoutProgressBytes: Type.Integer({
    minimum: 1_024,
    default: 262_144,
    description:
      "Bytes that an upstream may send without progress: in a head, in one event, or between two events",
  }),
  withoutProgressReads: Type.Integer({
    minimum: 1,
    default: 64,
    description: "Small pieces that an upstream may send without progress",
  }),
  reportBytes: Type.Integer({
    minimum: 1_024,
    default: 1_048_576,
    description: "Largest answer to a status query or an order, in bytes",
  }),
}, { additionalProperties: false, default: {} });

/** Limits on what upstreams and peers may send. */
export type UpstreamLimitsSettings = Static<typeof UpstreamLimitsSchema>;

/** The limits where none are set. */
export const DEFAULT_UPSTREAM_LIMITS = Value.Default(
  UpstreamLimitsSchema,
  {},
) as UpstreamLimitsSettings;

/** Limits on what a gateway holds of requests. */
export const RequestLimitsSchema = Type.Object({
  bodyMemoryBytes: Type.Integer({
    minimum: 65_536,
    default: 67_108_864,
    description:
      "Bytes of request bodies that a process holds in all; beyond three quarters of it bodies over 64 KB are refused, beyond all of it any",
  }),
  connections: Type.Integer({
    minimum: 1,
    default: 2_000,
    description:
      "Connections of callers that are open at the same time; beyond them the one that has been idle the longest is closed for a new one",
  }),
  requestsPerConnection: Type.Integer({
    minimum: 2,
    default: 4,
    description:
      "Requests on one connection of a caller that have no complete answer; more close it",
  }),
  headMemoryBytes: Type.Integer({
    minimum: 65_536,
    default: 8_388_608,
    description:
      "Bytes of heads and trailers that have not ended, of all callers; beyond them the connection is closed whose head or trailers began first",
  }),
}, { additionalProperties: false, default: {} });

/** Limits on what a gateway holds of requests. */
export type RequestLimitsSettings = Static<typeof RequestLimitsSchema>;

/** The limits where none are set. */
export const DEFAULT_REQUEST_LIMITS = Value.Default(
  RequestLimitsSchema,
  {},
) as RequestLimitsSettings;

/** Settings of `crowlever-entry`. */
export const EntrySettingsSchema = Type.Object({
  ...common,
  listen: Listen,
  callerAddress: Type.Optional(
    Type.String({ description: "Address that is published to callers" }),
  ),
  controlAddresses: Type.Array(HostPort, {
    minItems: 1,
    description:
      "Addresses at which the control processes accept sessions of entries",
  }),
  dataFolder: Type.Optional(
    Type.String({
      description:
        "Folder in which the last configuration is stored, on a VM with a disk",
    }),
  ),
  limits: Limits,
  heartbeatIntervalMs: Type.Integer({
    minimum: 10,
    default: 500,
    description: "Interval of heartbeats to control",
  }),
  controlSilenceMs: Type.Integer({
    minimum: 50,
    default: 2_000,
    description:
      "Time without a message from control after which another process is tried",
  }),
  maxConfigAgeMs: Type.Integer({
    minimum: 0,
    default: 0,
    description:
      "Time without contact to control after which new requests are rejected; 0 disables this",
  }),
  entriesTtlMs: Type.Integer({
    minimum: 100,
    default: 5_000,
    description: "Time for which callers may cache the list of entries",
  }),
  drainTimeoutMs: Type.Integer({
    minimum: 0,
    default: 60_000,
    description: "Time for requests in flight to finish at a graceful shutdown",
  }),
}, { additionalProperties: false });

/** Settings of `crowlever-entry`. */
export type EntrySettings = Static<typeof EntrySettingsSchema>;

/** Settings of `crowlever-control`. */
export const ControlSettingsSchema = Type.Object({
  ...common,
  dataFolder: Type.String({
    minLength: 1,
    description: "Folder of the persistent state",
  }),
  listen: Listen,
  peerListen: Listen,
  controlVms: Type.Array(
    Type.Object({
      vm: NameSchema,
      peerAddress: HostPort,
      operatorAddress: Type.Optional(HostPort),
    }, { additionalProperties: false }),
    { minItems: 1, description: "All control VMs, including this one" },
  ),
  platformListUrl: Type.Optional(
    Type.String({
      pattern: "^https?://",
      description: "URL of the platform's list of VMs",
    }),
  ),
  platformPollMs: Type.Integer({
    minimum: 10,
    default: 500,
    description: "Interval at which the platform's list is polled",
  }),
  limits: Limits,
  entryLeaseMs: Type.Integer({
    minimum: 100,
    default: 1_500,
    description:
      "Time without a heartbeat after which an entry is considered failed",
  }),
  snapshotEntries: Type.Integer({
    minimum: 16,
    default: 4_096,
    description: "Number of log entries between two snapshots",
  }),
  claimWindowMs: Type.Integer({
    minimum: 1_000,
    default: 900_000,
    description: "Time for which a claim is retained",
  }),
  quorum: Type.Object({
    electionTimeoutMs: Type.Integer({
      minimum: 50,
      default: 400,
      description:
        "Time without a heartbeat of the leader after which an election may start",
    }),
    electionJitterMs: Type.Integer({
      minimum: 1,
      default: 200,
      description: "Largest random time that is added to the election timeout",
    }),
    heartbeatIntervalMs: Type.Integer({
      minimum: 5,
      default: 50,
      description: "Interval of the leader's heartbeats",
    }),
  }, { additionalProperties: false, default: {} }),
  bootstrapOperatorTokenSha256: Type.Optional(
    Type.String({
      pattern: "^[0-9a-f]{64}$",
      description:
        "SHA-256 of the first operator's token in hex; valid until an operator is declared",
    }),
  ),
}, { additionalProperties: false });

/** Settings of `crowlever-control`. */
export type ControlSettings = Static<typeof ControlSettingsSchema>;
