/** Guards against answers of control without an end that fill the client's memory. */

import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startEndlessServer } from "../../test/support/start_endless_server.ts";
import {
  createOperatorClient,
  OperatorLineError,
} from "./create_operator_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

const STATUS_ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

const ENDLESS_LINE = "x".repeat(65_536);

test("a line of a watch without an end closes the watch", async () => {
  await using server = await startEndlessServer((request) =>
    request.includes("/v1/watch")
      ? { start: HEAD, repeated: Buffer.from(ENDLESS_LINE) }
      : { start: STATUS_ANSWER, repeated: Buffer.alloc(0), intervalMs: 1_000 }
  );
  const addresses = [server.address];
  const client = createOperatorClient({ addresses, token: "t" });
  let error: unknown;
  try {
    for await (const _line of client.watch({})) assert.unreachable();
  } catch (thrown) {
    error = thrown;
  }
  assert.instance(error, OperatorLineError);
});

test.run();
