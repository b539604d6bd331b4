/**
 * `crowlever get`: shows declared resources or live state.
 *
 * @module
 */

import { Args } from "@oclif/core";
import { BaseCommand } from "../base_command.ts";

interface Item {
  readonly kind?: string;
  readonly name?: string;
  readonly vm?: string;
  readonly revision?: number;
  readonly generation?: number;
  readonly status?: { readonly inForce: boolean };
}

/** Shows the resources of a kind, or one resource. */
export class GetCommand extends BaseCommand {
  static override summary = "Show the resources of a kind, or one of them";
  static override description =
    "Declared kinds: service, model, adapter, clientAccount, pool, operator. Live state: entry, upstream, placement.";
  static override examples = [
    "<%= config.bin %> get service",
    "<%= config.bin %> get pool/engines -o json",
  ];
  static override args = {
    what: Args.string({ required: true, description: "kind, or kind/name" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(GetCommand);
    const client = this.makeClient(flags);
    const path = `/v1/resources/${args.what}`;
    if (args.what.includes("/")) {
      this.parseName(args.what);
      const item = await client.call<Item>({ path });
      return this.print(item, {
        output: flags.output,
        rows: [formatItem(item)],
      });
    }
    const list = await client.call<{ items: Item[] }>({ path });
    const rows = list.items.map(formatItem);
    this.print(list, { output: flags.output, rows });
  }
}

function formatItem(item: Item) {
  if (item.generation === undefined) {
    const { name, vm, ...rest } = item;
    const flat = Object.entries(rest).filter(([, value]) =>
      typeof value !== "object"
    );
    return { name: name ?? vm, vm, ...Object.fromEntries(flat) };
  }
  return {
    kind: item.kind,
    name: item.name,
    revision: item.revision,
    generation: item.generation,
    "in force": item.status?.inForce,
  };
}
