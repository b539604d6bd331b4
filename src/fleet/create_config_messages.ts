/**
 * The messages that tell gateways a configuration: each is made once, however many
 * gateways are told.
 *
 * @module
 */

import type { Metrics } from "../metrics/index.ts";
import { diffConfigs } from "../routes/index.ts";
import type { wire } from "../wire/index.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
import { getConfigDigest } from "./get_config_digest.ts";
import type { LeaderMessage } from "./messages.ts";

/** What the messages are made of. */
export interface CreateConfigMessagesOptions {
  readonly history: Pick<ConfigHistory, "get" | "read">;
  /** Writes a message for the wire. */
  readonly format: (message: LeaderMessage) => wire.FleetMessage;
  readonly metrics: Pick<Metrics, "count">;
}

/** The messages that tell gateways a configuration. */
export interface ConfigMessages {
  /**
   * Gets the message for gateways that have another version: the change from it
   * where that version is known and the change is shorter, else the whole.
   */
  get(accepted: AcceptedConfig, fromVersion: number): wire.FleetMessage;
}

/** Messages of one version. */
interface VersionMessages {
  readonly accepted: AcceptedConfig;
  readonly whole: wire.FleetMessage;
  /** Messages by the version that gateways have. */
  readonly byFromVersion: Map<number, wire.FleetMessage>;
}

/**
 * Makes the messages.
 *
 * @param options - Earlier versions, and how messages are written.
 * @returns The messages.
 * @throws Nothing.
 * @example
 * stream.write(configMessages.get(accepted, session.sentVersion));
 */
export function createConfigMessages(
  options: CreateConfigMessagesOptions,
): ConfigMessages {
  const { history, format, metrics } = options;
  let current: VersionMessages | undefined;

  function makeChange(
    accepted: AcceptedConfig,
    fromVersion: number,
  ): wire.FleetMessage | undefined {
    const from = history.get(fromVersion);
    if (!from) return undefined;
    const change = diffConfigs(
      history.read(from.packed),
      history.read(accepted.packed),
    );
    metrics.count("config.changes_made");
    return format({
      type: "configChange",
      version: accepted.version,
      digest: getConfigDigest(accepted.packed),
      fromDigest: getConfigDigest(from.packed),
      change,
    });
  }

  function choose(
    { accepted, whole }: VersionMessages,
    fromVersion: number,
  ): wire.FleetMessage {
    const change = makeChange(accepted, fromVersion);
    return change && getSize(change) < getSize(whole) ? change : whole;
  }

  return {
    get(accepted, fromVersion) {
      if (current?.accepted.version !== accepted.version) {
        const whole = format({ type: "config", ...accepted });
        current = { accepted, whole, byFromVersion: new Map() };
      }
      const { byFromVersion } = current;
      const message = byFromVersion.get(fromVersion) ??
        choose(current, fromVersion);
      byFromVersion.set(fromVersion, message);
      return message;
    },
  };
}

function getSize({ json, packed }: wire.FleetMessage): number {
  return json.length + packed.length;
}
