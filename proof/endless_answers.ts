/**
 * Plays calls of a service one of whose upstreams answers without end; the arguments
 * name the kinds of answers, all by default.
 *
 * @module
 */

import process from "node:process";
import {
  ENDLESS_ANSWERS,
  type EndlessKind,
} from "../test/support/endless_answers.ts";
import { runEndlessAnswers } from "../test/support/run_endless_answers.ts";

/** Kinds that only a stream of events can have. */
const STREAM_KINDS: readonly string[] = [
  "event",
  "comments",
  "oldEvents",
  "unnumberedEvents",
  "unframedOldEvents",
  "commentDrip",
];

/** Kinds that are played on the route of streams, too. */
const SHARED_KINDS: readonly string[] = ["chunkExtension", "earlyHints"];

const named = process.argv.slice(2);
const kinds = (Object.keys(ENDLESS_ANSWERS) as EndlessKind[])
  .filter((kind) => named.length === 0 || named.includes(kind));
for (const kind of kinds) {
  const routes = STREAM_KINDS.includes(kind)
    ? ["feed"]
    : SHARED_KINDS.includes(kind)
    ? ["safe", "feed"]
    : kind === "chunkedBody"
    ? ["safe", "once"]
    : ["safe"];
  for (const route of routes) {
    const { lines: _lines, ...report } = await runEndlessAnswers({
      kind,
      route,
    });
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
}
