import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { getRequestKey, type RequestContent } from "./get_request_key.ts";

const CONTENT: RequestContent = {
  method: "POST",
  host: "a.example",
  target: "/stream/1?x=1",
  account: "one",
  body: Buffer.from("hello"),
};

test("attempts of one request share a key, a change of any field changes it", () => {
  const key = getRequestKey(CONTENT);
  assert.is(getRequestKey({ ...CONTENT, body: Buffer.from("hello") }), key);
  const others: Partial<RequestContent>[] = [
    { method: "GET" },
    { host: "b.example" },
    { target: "/stream/1" },
    { account: "two" },
    { account: undefined },
    { body: Buffer.from("hello!") },
    { body: null },
  ];
  const keys = others.map((one) => getRequestKey({ ...CONTENT, ...one }));
  assert.is(new Set([key, ...keys]).size, others.length + 1);
  assert.match(key, /^[\w-]{16}$/);
});

test.run();
