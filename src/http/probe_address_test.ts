import { test } from "uvu";
import * as assert from "uvu/assert";
import { probeAddress } from "./probe_address.ts";

test("an address without a valid port is unknown and rejects nothing", async () => {
  for (
    const address of ["10.0.0.1:99999", "10.0.0.1:-1", "a:b", "10.0.0.1:0"]
  ) {
    assert.is(await probeAddress(address, { timeoutMs: 100 }), "unknown");
  }
});

test.run();
