/**
 * The leader's messages as they go to the wire. What goes to many gateways alike
 * is written out once.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { wire } from "../wire/index.ts";
import { createConfigDelta } from "./config_delta.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
import type { GatewayMessage, LeaderMessage } from "./messages.ts";
import { unpackDocument } from "./pack_document.ts";
import {
  formatLeaderMessage,
  parseGatewayMessage,
} from "./session_messages.ts";

/** What the news tells of. */
export interface CreateWrittenNewsOptions {
  readonly getEngines: () => readonly EngineRecord[];
  /** Whether these are surely all engines. */
  readonly knowsAllEngines: () => boolean;
  readonly metrics: Pick<Metrics, "count">;
}

/** Documents that are kept, so that who lags by some versions gets changes. */
const MAX_DOCUMENTS = 4;

/** Part of the whole, packed, that a change may take: more is told whole. */
const MAX_CHANGE_SHARE = 0.5;

/** A configuration as it was written out. */
interface WrittenConfig {
  readonly accepted: AcceptedConfig;
  readonly whole: wire.FleetMessage;
  /** Changes by the version that they are made from. */
  readonly changes: Map<number, wire.FleetMessage>;
}

/** The leader's messages as they go to the wire. */
export interface WrittenNews {
  format(message: LeaderMessage): wire.FleetMessage;
  parse(received: wire.FleetMessage): GatewayMessage;
  /** Notes the configuration in force: the next is told as a change of it. */
  noteConfig(accepted: AcceptedConfig): void;
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
  const documents = new Map<number, string>();
  let config: WrittenConfig | undefined;

  function format(message: LeaderMessage): wire.FleetMessage {
    return formatLeaderMessage(message, numbers);
  }

  function keepDocument({ version, packed }: AcceptedConfig): void {
    if (documents.has(version)) return;
    documents.set(version, unpackDocument(packed));
    for (const old of documents.keys()) {
      if (documents.size > MAX_DOCUMENTS) documents.delete(old);
    }
  }

  function formatChange(
    { accepted, changes }: WrittenConfig,
    fromVersion: number,
  ): wire.FleetMessage | undefined {
    const { version, packed } = accepted;
    const from = documents.get(fromVersion);
    const to = documents.get(version);
    if (from === undefined || to === undefined) return undefined;
    const known = changes.get(fromVersion);
    if (known) return known;
    const delta = createConfigDelta(from, to);
    options.metrics.count("config.changes_made");
    if (delta.length > packed.length * MAX_CHANGE_SHARE) return undefined;
    const change = format({
      type: "configChange",
      version,
      fromVersion,
      delta,
    });
    changes.set(fromVersion, change);
    return change;
  }

  return {
    format,
    parse: (received) => parseGatewayMessage(received, numbers),
    noteConfig: keepDocument,
    formatConfig(accepted, fromVersion) {
      keepDocument(accepted);
      if (config?.accepted.version !== accepted.version) {
        const whole = format({ type: "config", ...accepted });
        config = { accepted, whole, changes: new Map() };
      }
      return formatChange(config, fromVersion) ?? config.whole;
    },
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
