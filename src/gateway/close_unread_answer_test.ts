import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { closeUnreadAnswer } from "./close_unread_answer.ts";

const ANSWER_BYTES = 32 * 1024 * 1024;

/** Time after which a test gives up. */
const GIVE_UP_MS = 10_000;

interface Caller {
  resume(): void;
  pause(): void;
  /** Waits until the answer is complete, or the server has closed the connection. */
  waitForEnd(): Promise<"complete" | "closed" | "neither">;
}

/** Plays a caller of a long answer. */
async function play(
  timeoutMs: number,
  read: (caller: Caller) => Promise<void>,
): Promise<void> {
  const server = createServer((_request, response) => {
    response.end(Buffer.alloc(ANSWER_BYTES));
    closeUnreadAnswer(response, { timeoutMs });
  });
  let isClosed = false;
  server.on("connection", (socket) => {
    socket.on("close", () => isClosed = true);
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  let bytes = 0;
  socket.on("data", (data) => bytes += data.length);
  socket.on("error", () => {});
  socket.pause();
  socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  await read({
    resume: () => socket.resume(),
    pause: () => socket.pause(),
    async waitForEnd() {
      for (let ms = 0; ms < GIVE_UP_MS; ms += 10) {
        if (bytes > ANSWER_BYTES) return "complete";
        if (isClosed) return "closed";
        await sleep(10);
      }
      return "neither";
    },
  });
  socket.destroy();
  server.close();
}

test("the connection of an answer that nobody reads is closed", async () => {
  await play(100, async ({ waitForEnd }) => {
    assert.is(await waitForEnd(), "closed");
  });
});

test("a caller that reads its answer slowly gets all of it", async () => {
  await play(2_000, async ({ resume, pause, waitForEnd }) => {
    for (let at = 0; at < 6; at++) {
      resume();
      await sleep(5);
      pause();
      await sleep(400);
    }
    resume();
    assert.is(await waitForEnd(), "complete");
  });
});

test.run();
