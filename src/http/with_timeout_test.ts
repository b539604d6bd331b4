import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TimeLimitError, withTimeout } from "./with_timeout.ts";

test("a value in time is passed on", async () => {
  assert.is(await withTimeout(Promise.resolve(3), { timeoutMs: 1_000 }), 3);
});

test("a rejection in time is passed on", async () => {
  const failing = Promise.reject(new RangeError("no"));
  try {
    await withTimeout(failing, { timeoutMs: 1_000 });
    assert.unreachable();
  } catch (error) {
    assert.instance(error, RangeError);
  }
});

test("a call to a server that never answers times out", async () => {
  const server = createServer((socket) => {
    setTimeout(() => socket.destroy(), 100);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const unanswered = request(`http://127.0.0.1:${port}/`);
  try {
    await withTimeout(unanswered, { timeoutMs: 30 });
    assert.unreachable();
  } catch (error) {
    assert.instance(error, TimeLimitError);
  }
  server.close();
});

test("an answer that arrived while this process was blocked is read", async () => {
  const server = createServer((socket) => {
    socket.on("data", () => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const dispatcher = new Agent();
  const sendRequest = () =>
    request(`http://127.0.0.1:${port}/`, { dispatcher });
  const first = await sendRequest();
  await first.body.dump();
  const answer = withTimeout(sendRequest(), { timeoutMs: 10 });
  await new Promise((done) => setImmediate(done));
  const untilMs = performance.now() + 40;
  while (performance.now() < untilMs);
  const { statusCode, body } = await answer;
  assert.is(statusCode, 200);
  await body.dump();
  await dispatcher.close();
  server.close();
});

test.run();
