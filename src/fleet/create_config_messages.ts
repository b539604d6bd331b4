/**
 * Messages that carry a configuration to gateways. Each message is built and encoded
 * once, however many gateways receive it.
 *
 * @module
 */

import type { Metrics } from "../metrics/index.ts";
import { diffConfigs } from "../routes/index.ts";
import type { wire } from "../wire/index.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { AcceptedConfig } from "./create_fleet_state_machine.ts";
import { getConfigDigest } from "./get_config_digest.ts";
import type { LeaderMessage } from "./messages.ts";

/** Dependencies of {@link createConfigMessages}. */
export interface CreateConfigMessagesOptions {
  readonly history: Pick<ConfigHistory, "get" | "read">;
  /** Encodes a message for the wire. */
  readonly format: (message: LeaderMessage) => wire.FleetMessage;
  readonly metrics: Pick<Metrics, "count">;
}

/** Messages that carry a configuration to gateways. */
export interface ConfigMessages {
  /**
   * Gets the message for gateways that hold another version: the change from that
   * version if it is known and the change is shorter, otherwise the full configuration.
   */
  get(accepted: AcceptedConfig, fromVersion: number): wire.FleetMessage;
}

/** Messages that lead to one version. */
interface VersionMessages {
  readonly accepted: AcceptedConfig;
  readonly fullMessage: wire.FleetMessage;
  /** Messages by the version that the gateway holds. */
  readonly byFromVersion: Map<number, wire.FleetMessage>;
}

/**
 * Creates the builder of messages, with an empty cache.
 *
 * @param options - Earlier versions, and the encoder of messages.
 * @returns The builder of messages.
 * @throws Nothing.
 * @example
 * stream.write(configMessages.get(accepted, session.sentVersion));
 */
export function createConfigMessages(
  options: CreateConfigMessagesOptions,
): ConfigMessages {
  const { history, format, metrics } = options;
  let current: VersionMessages | undefined;

  function makeChangeMessage(
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

  function chooseMessage(
    { accepted, fullMessage }: VersionMessages,
    fromVersion: number,
  ): wire.FleetMessage {
    const change = makeChangeMessage(accepted, fromVersion);
    return change && getSize(change) < getSize(fullMessage)
      ? change
      : fullMessage;
  }

  return {
    get(accepted, fromVersion) {
      if (current?.accepted.version !== accepted.version) {
        const fullMessage = format({ type: "config", ...accepted });
        current = { accepted, fullMessage, byFromVersion: new Map() };
      }
      const { byFromVersion } = current;
      const message = byFromVersion.get(fromVersion) ??
        chooseMessage(current, fromVersion);
      byFromVersion.set(fromVersion, message);
      return message;
    },
  };
}

function getSize({ json, packed }: wire.FleetMessage): number {
  return json.length + packed.length;
}
