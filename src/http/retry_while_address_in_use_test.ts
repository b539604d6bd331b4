/** Guards against a program that ends because its predecessor has not ended yet. */

import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { retryWhileAddressInUse } from "./retry_while_address_in_use.ts";

const HOST = "127.0.0.1";

async function listen(port: number) {
  const server = createServer();
  server.listen({ host: HOST, port });
  await once(server, "listening");
  return server;
}

async function startPredecessor() {
  const server = await listen(0);
  const { port } = server.address() as { port: number };
  return { server, port };
}

test("a program listens once the process before has freed its address", async () => {
  const { server, port } = await startPredecessor();
  let reports = 0;
  const successor = await retryWhileAddressInUse(() => listen(port), {
    waitMs: Infinity,
    onInUse() {
      reports += 1;
      server.close();
    },
    now: () => 0,
  });
  assert.is(reports, 1);
  successor.close();
  await once(successor, "close");
});

test("a program doesn't wait for ever, or for an address that it can't use", async () => {
  const { server, port } = await startPredecessor();
  let nowMs = 0;
  let unusableAttempts = 0;
  const codes: unknown[] = [];
  const unusable = Object.assign(new Error("no such address"), {
    code: "EADDRNOTAVAIL",
  });
  const failing = [() => listen(port), () => {
    unusableAttempts += 1;
    return Promise.reject(unusable);
  }];
  for (const attempt of failing) {
    await retryWhileAddressInUse(attempt, {
      waitMs: 100,
      now: () => nowMs += 60,
    }).catch(({ code }) => void codes.push(code));
  }
  assert.equal(codes, ["EADDRINUSE", "EADDRNOTAVAIL"]);
  assert.is(unusableAttempts, 1);
  server.close();
  await once(server, "close");
});

test.run();
