/** Guards against bodies without an end that fill the memory or hold a call. */

import { Agent, request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  ENDLESS_ANSWERS,
  type EndlessKind,
} from "../../test/support/endless_answers.ts";
import { startEndlessServer } from "../../test/support/start_endless_server.ts";
import { BodyLimitError, readLimitedBody } from "./read_limited_body.ts";
import { TimeLimitError } from "./with_timeout.ts";

/** Reads the body of an endless answer; returns the error, and who closed it. */
async function readEndless(
  kind: EndlessKind,
  options: { readonly maxBytes: number; readonly timeoutMs?: number },
) {
  await using server = await startEndlessServer(() =>
    ENDLESS_ANSWERS[kind]("r")
  );
  const dispatcher = new Agent();
  const { body } = await request(`http://${server.address}/`, { dispatcher });
  const error = await readLimitedBody(body, options).catch((thrown) => thrown);
  const closedBy = await server.closedBy;
  await dispatcher.destroy();
  return { error, closedBy };
}

for (const kind of ["chunkedBody", "unframedBody", "tinyChunks"] as const) {
  test(`a body without an end (${kind}) is closed beyond its limit in bytes`, async () => {
    const { error, closedBy } = await readEndless(kind, { maxBytes: 100_000 });
    assert.instance(error, BodyLimitError);
    assert.is(closedBy, "client");
  });
}

for (const kind of ["bodyDrip", "chunkExtension"] as const) {
  test(`a body without progress (${kind}) is closed after its time`, async () => {
    const limits = { maxBytes: 100_000, timeoutMs: 200 };
    const { error, closedBy } = await readEndless(kind, limits);
    assert.instance(error, TimeLimitError);
    assert.is(closedBy, "client");
  });
}

test.run();
