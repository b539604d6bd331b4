/**
 * The leader's messages as they go to the wire. What goes to many gateways alike
 * is written out once.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { wire } from "../wire/index.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import { createConfigMessages } from "./create_config_messages.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
import type { GatewayMessage, LeaderMessage } from "./messages.ts";
import {
  formatLeaderMessage,
  parseGatewayMessage,
} from "./session_messages.ts";

/** What the news tells of. */
export interface CreateWrittenNewsOptions {
  readonly getEngines: () => readonly EngineRecord[];
  /** Whether these are surely all engines. */
  readonly knowsAllEngines: () => boolean;
  /** Configurations that gateways may have. */
  readonly history: Pick<ConfigHistory, "get" | "read">;
  readonly metrics: Pick<Metrics, "count">;
}

/** The leader's messages as they go to the wire. */
export interface WrittenNews {
  format(message: LeaderMessage): wire.FleetMessage;
  parse(received: wire.FleetMessage): GatewayMessage;
  /** An accepted configuration, as a change where that is known and shorter. */
  formatConfig(
    accepted: AcceptedConfig,
    /** Version that the gateway has; -1 for none. */
    fromVersion: number,
  ): wire.FleetMessage;
  /** All engines, as they were when {@link forgetEngines} was last called. */
  formatEngines(): wire.FleetMessage;
  /** Lets the next list of all engines be written anew. */
  forgetEngines(): void;
}

/**
 * Makes the news; numbers of engines go on as long as it lasts.
 *
 * @param options - What the news tells of.
 * @returns The news.
 * @throws Nothing.
 * @example
 * stream.write(news.formatEngines());
 */
export function createWrittenNews(
  options: CreateWrittenNewsOptions,
): WrittenNews {
  const numbers = createEngineNumbers();
  let list: { isWhole: boolean; message: wire.FleetMessage } | undefined;

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
      if (list?.isWhole !== isWhole) {
        const engines = options.getEngines();
        const message = format({ type: "engines", isWhole, engines, gone: [] });
        list = { isWhole, message };
      }
      return list.message;
    },
    forgetEngines() {
      list = undefined;
    },
  };
}
