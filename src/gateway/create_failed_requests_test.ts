import { EventEmitter, once } from "node:events";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFailedRequests } from "./create_failed_requests.ts";

const makeSocket = () => new EventEmitter() as unknown as Socket;

test("a failed request names the connections that carried its answers", () => {
  const failed = createFailedRequests();
  const [first, second] = [makeSocket(), makeSocket()];
  failed.note(first, "r1");
  failed.note(second, "r1");
  failed.note(second, "r2");
  assert.equal(failed.listConnections("r1"), [first, second]);
  assert.equal(failed.listConnections("r2"), [second]);
  assert.equal(failed.listConnections("r3"), []);
});

test("a closed connection is forgotten", async () => {
  const failed = createFailedRequests();
  const [first, second] = [makeSocket(), makeSocket()];
  failed.note(first, "r1");
  failed.note(second, "r1");
  const closed = once(first, "close");
  first.emit("close");
  await closed;
  assert.equal(failed.listConnections("r1"), [second]);
});

test("a connection is full once it carried as many failed answers as are remembered", () => {
  const failed = createFailedRequests({ maxRequests: 2 });
  const socket = makeSocket();
  failed.note(socket, "r1");
  failed.note(socket, "r1");
  assert.not(failed.isFull(socket));
  failed.note(socket, "r2");
  assert.ok(failed.isFull(socket));
});

test.run();
