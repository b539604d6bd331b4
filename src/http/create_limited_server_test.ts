import { once } from "node:events";
import { Agent, request as httpRequest, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { type ConnectionLimits, createLimitedServer } from "./index.ts";

const LIMITS: ConnectionLimits = {
  connections: 4,
  requestsPerConnection: 3,
  headBytes: 100_000,
};

const HEAD = "GET / HTTP/1.1\r\nhost: h\r\n";

interface Trial extends AsyncDisposable {
  readonly port: number;
  readonly bodies: string[];
  open(): Promise<Client>;
  /** Answers all requests that wait. */
  answer(): void;
}

interface Client {
  readonly socket: Socket;
  getReceived(): string;
  readonly closed: Promise<unknown>;
}

async function startTrial(
  options: { readonly isHeld?: boolean; readonly limits?: ConnectionLimits } =
    {},
): Promise<Trial> {
  const { isHeld = false, limits = LIMITS } = options;
  const waiting: (() => void)[] = [];
  const bodies: string[] = [];
  const server: Server = createLimitedServer((message, response) => {
    let body = "";
    message.on("data", (chunk) => body += chunk);
    message.on("end", () => {
      bodies.push(body);
      const answer = () => void response.end("ok");
      if (isHeld) waiting.push(answer);
      else answer();
    });
  }, { limits });
  server.on("clientError", (_error, socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    port,
    bodies,
    async open() {
      const socket = connect(port, "127.0.0.1");
      let received = "";
      socket.on("data", (data) => received += data).on("error", () => {});
      const closed = once(socket, "close");
      await once(socket, "connect");
      return { socket, getReceived: () => received, closed };
    },
    answer: () => waiting.splice(0).forEach((one) => one()),
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function countAnswers({ getReceived }: Client): number {
  return getReceived().split("200 OK").length - 1;
}

test("a few requests that are sent ahead are answered in order", async () => {
  await using trial = await startTrial();
  const client = await trial.open();
  client.socket.write(`${HEAD}\r\n`.repeat(3));
  await until("all are answered", () => countAnswers(client) === 3);
  client.socket.write(`${HEAD}\r\n`);
  await until("a later one is answered", () => countAnswers(client) === 4);
});

// Guards against a client that makes the server hold any number of requests.
test("a connection with too many unanswered requests is closed", async () => {
  await using trial = await startTrial({ isHeld: true });
  const client = await trial.open();
  client.socket.write(`${HEAD}\r\n`.repeat(1_000));
  await client.closed;
  assert.is(countAnswers(client), 0);
  assert.ok(trial.bodies.length <= 3, `${trial.bodies.length} are held`);
});

test("requests with an unknown expectation count as well", async () => {
  await using trial = await startTrial();
  const client = await trial.open();
  client.socket.write(`${HEAD}expect: x\r\n\r\n`);
  await until("it is refused", () => client.getReceived().includes(" 417 "));
  client.socket.write(`${HEAD}expect: x\r\n\r\n`.repeat(1_000));
  await client.closed;
});

test("the connection that has been idle the longest makes room for a new one", async () => {
  await using trial = await startTrial({ isHeld: true });
  const clients = [];
  for (let at = 0; at < 4; at++) clients.push(await trial.open());
  const [busy, oldest, second] = clients;
  busy.socket.write(`${HEAD}\r\n`);
  await until("a request is served", () => trial.bodies.length === 1);
  const added = await trial.open();
  added.socket.write(`${HEAD}\r\n`);
  await oldest.closed;
  await until("the new one is served", () => trial.bodies.length === 2);
  trial.answer();
  await until(
    "both are answered",
    () => countAnswers(busy) + countAnswers(added) === 2,
  );
  await trial.open();
  await second.closed;
  assert.not(busy.socket.destroyed);
});

// Guards against heads and trailers that never end, on many connections.
for (const kind of ["heads", "trailers"] as const) {
  test(`${kind} without end are bounded over all connections`, async () => {
    await using trial = await startTrial({
      limits: { connections: 100, requestsPerConnection: 3, headBytes: 50_000 },
    });
    const clients: Client[] = [];
    const start = kind === "heads"
      ? HEAD
      : "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    for (let at = 0; at < 20; at++) {
      const client = await trial.open();
      client.socket.write(`${start}x-long: ${"x".repeat(12_000)}`);
      clients.push(client);
    }
    await until(
      "most are closed",
      () => clients.filter(({ socket }) => socket.destroyed).length >= 12,
    );
    assert.not(clients[19].socket.destroyed, "the newest stays");
    clients[19].socket.write("\r\n\r\n");
    await until("it is answered", () => countAnswers(clients[19]) === 1);
  });
}

test("a long body arrives whole, in chunks or with a length", async () => {
  await using trial = await startTrial();
  const agent = new Agent({ keepAlive: true });
  for (const headers of [{}, { "content-length": 3_000_000 }]) {
    const sent = httpRequest({
      port: trial.port,
      host: "127.0.0.1",
      method: "POST",
      headers,
      agent,
    });
    for (let at = 0; at < 30; at++) sent.write("x".repeat(100_000));
    sent.end();
    const [response] = await once(sent, "response");
    response.resume();
    await once(response, "end");
  }
  agent.destroy();
  assert.equal(trial.bodies.map(({ length }) => length), [
    3_000_000,
    3_000_000,
  ]);
});

test.run();
