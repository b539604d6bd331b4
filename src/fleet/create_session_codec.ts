/**
 * Encodes the leader's messages for the wire and decodes those of gateways. A message
 * that goes to many gateways is encoded once.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { wire } from "../wire/index.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import { createConfigMessages } from "./create_config_messages.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import type { EngineDepartures } from "./create_engine_registry.ts";
import type { AcceptedConfig } from "./create_fleet_state_machine.ts";
import type { GatewayMessage, LeaderMessage } from "./messages.ts";
import {
  formatLeaderMessage,
  parseGatewayMessage,
} from "./session_messages.ts";

/** Dependencies of {@link createSessionCodec}. */
export interface CreateSessionCodecOptions {
  readonly getEngines: () => readonly EngineRecord[];
  /** Departed engines, which an incomplete list has to name. */
  readonly getDepartures: () => EngineDepartures;
  /** Whether the list is known to be complete. */
  readonly knowsAllEngines: () => boolean;
  /** Configurations that gateways may have. */
  readonly history: Pick<ConfigHistory, "get" | "read">;
  readonly metrics: Pick<Metrics, "count">;
}

/** Encodes and decodes the messages of gateway sessions. */
export interface SessionCodec {
  format(message: LeaderMessage): wire.FleetMessage;
  parse(received: wire.FleetMessage): GatewayMessage;
  /** Encodes an accepted configuration, as a change if that is known and shorter. */
  formatConfig(
    accepted: AcceptedConfig,
    /** Version that the gateway has; -1 for none. */
    fromVersion: number,
  ): wire.FleetMessage;
  /** Encodes the list of all engines; cached until {@link invalidateEngines} is called. */
  formatEngines(): wire.FleetMessage;
  /** Invalidates the cached list of all engines. */
  invalidateEngines(): void;
}

/**
 * Creates the codec; it numbers engines consistently during its lifetime.
 *
 * @param options - The engines and configurations to encode.
 * @returns The codec.
 * @throws Nothing.
 * @example
 * stream.write(codec.formatEngines());
 */
export function createSessionCodec(
  options: CreateSessionCodecOptions,
): SessionCodec {
  const numbers = createEngineNumbers();
  let engineList: { isWhole: boolean; message: wire.FleetMessage } | undefined;

  function format(message: LeaderMessage): wire.FleetMessage {
    return formatLeaderMessage(message, numbers);
  }

  const configMessages = createConfigMessages({ ...options, format });

  return {
    format,
    parse: (received) => parseGatewayMessage(received, numbers),
    formatConfig: configMessages.get,
    formatEngines() {
      const isWhole = options.knowsAllEngines();
      if (engineList?.isWhole !== isWhole) {
        const engines = options.getEngines();
        const departures = isWhole ? { gone: [] } : options.getDepartures();
        const message = format({
          type: "engines",
          isWhole,
          engines,
          ...departures,
        });
        engineList = { isWhole, message };
      }
      return engineList.message;
    },
    invalidateEngines() {
      engineList = undefined;
    },
  };
}
