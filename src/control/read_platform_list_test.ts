/** Guards against a list of VMs without an end that fills the memory of control. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { ENDLESS_ANSWERS } from "../../test/support/endless_answers.ts";
import { startEndlessServer } from "../../test/support/start_endless_server.ts";
import { PlatformListError, readPlatformList } from "./read_platform_list.ts";

test("a list without an end is not read beyond its limit in bytes", async () => {
  await using server = await startEndlessServer(() =>
    ENDLESS_ANSWERS.chunkedBody("r")
  );
  const url = `http://${server.address}/vms`;
  const error = await readPlatformList(url, { timeoutMs: 20_000 })
    .catch((thrown) => thrown);
  assert.instance(error, PlatformListError);
  assert.is(await server.closedBy, "client");
});

test.run();
