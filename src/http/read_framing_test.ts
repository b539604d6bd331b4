import { test } from "uvu";
import * as assert from "uvu/assert";
import { readFraming } from "./read_framing.ts";

type Headers = Record<string, string | string[]>;

const endsWithConnection = (headers: Headers, status = 200, method = "GET") =>
  readFraming({ status, headers, method }).endsWithConnection;

const isCoded = (codings: string | string[]) =>
  readFraming({ status: 200, headers: { "transfer-encoding": codings } })
    .isCoded;

test("a body with a length or in chunks doesn't end with its connection", () => {
  assert.not.ok(endsWithConnection({ "content-length": "0" }));
  assert.not.ok(endsWithConnection({ "transfer-encoding": "chunked" }));
  assert.not.ok(endsWithConnection({ "transfer-encoding": "gzip, Chunked" }));
  assert.not.ok(
    endsWithConnection({ "transfer-encoding": ["gzip", "chunked"] }),
  );
});

// Guards against whole answers of an upstream that ends next and that are taken for cut.
test("a response that never has a body ends with its head", () => {
  assert.not.ok(endsWithConnection({}, 204));
  assert.not.ok(endsWithConnection({}, 304));
  assert.not.ok(endsWithConnection({}, 200, "HEAD"));
});

// Guards against crashes that aren't looked for, so that a short body seems whole.
test("a body whose last transfer coding is not chunked ends with its connection", () => {
  assert.ok(endsWithConnection({}));
  assert.ok(endsWithConnection({ "transfer-encoding": "identity" }));
  assert.ok(endsWithConnection({ "transfer-encoding": "gzip" }));
  assert.ok(endsWithConnection({ "transfer-encoding": "chunked, gzip" }));
});

test("only chunks and identity leave a body as it is", () => {
  assert.not.ok(readFraming({ status: 200, headers: {} }).isCoded);
  assert.not.ok(isCoded("chunked"));
  assert.not.ok(isCoded("identity"));
  assert.ok(isCoded("gzip"));
  assert.ok(isCoded("gzip, chunked"));
  assert.ok(isCoded(["deflate", "chunked"]));
});

test.run();
