/**
 * The commands of `crowlever`, in the form that oclif loads.
 *
 * @module
 */

import { ApplyCommand } from "./apply.ts";
import { CheckCommand } from "./check.ts";
import { DeleteCommand } from "./delete.ts";
import { DrainCommand } from "./drain.ts";
import { EntriesCommand } from "./entries.ts";
import { ExplainCommand } from "./explain.ts";
import { GetCommand } from "./get.ts";
import { QuarantineCommand } from "./quarantine.ts";
import { StatusCommand } from "./status.ts";
import { WatchCommand } from "./watch.ts";

/** All commands by name. */
export const COMMANDS = {
  apply: ApplyCommand,
  check: CheckCommand,
  delete: DeleteCommand,
  drain: DrainCommand,
  entries: EntriesCommand,
  explain: ExplainCommand,
  get: GetCommand,
  quarantine: QuarantineCommand,
  status: StatusCommand,
  watch: WatchCommand,
};
