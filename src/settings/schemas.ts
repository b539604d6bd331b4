/**
 * The settings of each program. Types are inferred from the schemas; every
 * field carries its unit, its default where it has one, and its meaning.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { NameSchema } from "../model/index.ts";

const HostPort = Type.String({
  pattern: "^[0-9A-Za-z.:\\[\\]-]+:\\d{1,5}$",
  description: "Address and port",
});

const Listen = Type.Object({
  host: Type.String({ default: "127.0.0.1", description: "Address" }),
  port: Type.Integer({
    minimum: 0,
    maximum: 65_535,
    description: "Port; 0 takes a free one",
  }),
}, { additionalProperties: false });

const LogSettings = Type.Object({
  level: Type.Union(
    ["debug", "info", "warn", "error"].map((level) => Type.Literal(level)),
    { default: "info", description: "Least level that is written" },
  ),
  format: Type.Union(
    [Type.Literal("text"), Type.Literal("json")],
    { default: "text", description: "One line an event, as text or as JSON" },
  ),
}, { additionalProperties: false, default: {} });

const MetricsSettings = Type.Object({
  host: Type.String({
    default: "",
    description: "StatsD address; empty sends none",
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
    Type.String({ description: "Authorities of the other side, PEM" }),
  ),
}, { additionalProperties: false });

/** Files of a TLS identity. */
export type TlsFilesSettings = Static<typeof TlsFiles>;

const common = {
  fleetId: Type.String({
    minLength: 1,
    description: "The fleet; processes of another fleet are refused",
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
    description: "Largest request body",
  }),
  headerBytes: Type.Integer({
    minimum: 1_024,
    default: 16_384,
    description: "Largest request header",
  }),
  requestTimeoutMs: Type.Integer({
    minimum: 1,
    default: 10_000,
    description: "Time for a caller to send a whole request",
  }),
  idleTimeoutMs: Type.Integer({
    minimum: 1,
    default: 72_000,
    description: "Time for which an idle connection is kept",
  }),
}, { additionalProperties: false, default: {} });

/** Settings of `crowlever-entry`. */
export const EntrySettingsSchema = Type.Object({
  ...common,
  listen: Listen,
  callerAddress: Type.Optional(
    Type.String({ description: "Address that callers are told to use" }),
  ),
  controlAddresses: Type.Array(HostPort, {
    minItems: 1,
    description: "Where the control processes talk to entries",
  }),
  dataFolder: Type.Optional(
    Type.String({
      description: "Where the last configuration is kept, on a VM with a disk",
    }),
  ),
  limits: Limits,
  heartbeatIntervalMs: Type.Integer({
    minimum: 10,
    default: 500,
    description: "Time between two reports to control",
  }),
  controlSilenceMs: Type.Integer({
    minimum: 50,
    default: 2_000,
    description: "Silence after which another control process is asked",
  }),
  maxConfigAgeMs: Type.Integer({
    minimum: 0,
    default: 0,
    description:
      "Age without contact to control after which new requests are refused; 0 never",
  }),
  entriesTtlMs: Type.Integer({
    minimum: 100,
    default: 5_000,
    description: "Time for which callers may keep the list of entries",
  }),
  drainTimeoutMs: Type.Integer({
    minimum: 0,
    default: 60_000,
    description: "Time for requests in flight at a planned stop",
  }),
}, { additionalProperties: false });

/** Settings of `crowlever-entry`. */
export type EntrySettings = Static<typeof EntrySettingsSchema>;

/** Settings of `crowlever-control`. */
export const ControlSettingsSchema = Type.Object({
  ...common,
  dataFolder: Type.String({
    minLength: 1,
    description: "Folder of the durable state",
  }),
  listen: Listen,
  peerListen: Listen,
  controlVms: Type.Array(
    Type.Object({
      vm: NameSchema,
      peerAddress: HostPort,
      operatorAddress: Type.Optional(HostPort),
    }, { additionalProperties: false }),
    { minItems: 1, description: "All control VMs, this one among them" },
  ),
  platformListUrl: Type.Optional(
    Type.String({
      pattern: "^https?://",
      description: "The platform's list of VMs",
    }),
  ),
  platformPollMs: Type.Integer({
    minimum: 10,
    default: 500,
    description: "Time between two reads of the platform's list",
  }),
  limits: Limits,
  entryLeaseMs: Type.Integer({
    minimum: 100,
    default: 1_500,
    description: "Silence after which an entry counts as dead",
  }),
  snapshotEntries: Type.Integer({
    minimum: 16,
    default: 4_096,
    description: "Log entries between two snapshots",
  }),
  claimWindowMs: Type.Integer({
    minimum: 1_000,
    default: 900_000,
    description: "Time for which a claim is remembered",
  }),
  quorum: Type.Object({
    electionTimeoutMs: Type.Integer({
      minimum: 50,
      default: 400,
      description: "Silence of a leader before another may be voted for",
    }),
    electionJitterMs: Type.Integer({
      minimum: 1,
      default: 200,
      description: "Random time, at most, added to it",
    }),
    heartbeatIntervalMs: Type.Integer({
      minimum: 5,
      default: 50,
      description: "Time between two heartbeats of the leader",
    }),
  }, { additionalProperties: false, default: {} }),
  bootstrapOperatorTokenSha256: Type.Optional(
    Type.String({
      pattern: "^[0-9a-f]{64}$",
      description: "Token of the first operator, until one is declared",
    }),
  ),
}, { additionalProperties: false });

/** Settings of `crowlever-control`. */
export type ControlSettings = Static<typeof ControlSettingsSchema>;
