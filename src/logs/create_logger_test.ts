/** Guards against an error that can't be described: its line was lost with it. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLogger, describeError } from "./create_logger.ts";

function createCyclicValues() {
  const cyclic: Record<string, unknown> = {};
  cyclic.self = cyclic;
  const caused = new Error("outer");
  caused.cause = new Error("inner", { cause: caused });
  return { cyclic, caused };
}

test("any value that is thrown can be logged", () => {
  const { cyclic, caused } = createCyclicValues();
  const bare = Object.create(null);
  for (const format of ["json", "text"] as const) {
    const lines: string[] = [];
    const log = createLogger({
      program: "trial",
      format,
      write: (line) => void lines.push(line),
    });
    const values = [cyclic, caused, bare, 1n, Symbol("thrown"), undefined];
    for (const error of values) log("failed", { error });
    assert.is(lines.length, values.length);
    for (const line of lines) assert.match(line, /CL1015/);
  }
});

test("a cycle of causes is described once", () => {
  const { cyclic, caused } = createCyclicValues();
  assert.is(describeError(caused), "outer: inner");
  assert.match(describeError(cyclic), /Circular/);
  assert.is(describeError(Symbol("thrown")), "Symbol(thrown)");
});

test.run();
