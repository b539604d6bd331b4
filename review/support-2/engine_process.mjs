// An engine in a process of its own, so that a case can kill it. The environment variable
// ENGINE holds its fields; it writes a line for each request that it has begun. Started by
// supervised_engine.mjs it serves the connections that it is handed.
import http from "node:http";

const engine = JSON.parse(process.env.ENGINE);
const {
  id,
  service,
  host,
  port,
  zone,
  slots,
  controls,
  pieces,
  gapMs,
  isFramed,
} = engine;
const address = `${host}:${port}`;
let sequence = 0;
let at = 0;

function beat() {
  sequence += 1;
  const body = JSON.stringify({
    service,
    address,
    zone,
    version: "v1",
    slots,
    state: "ready",
    coldLeftMs: 0,
    seq: sequence,
  });
  const [controlHost, controlPort] = controls[at % controls.length].split(":");
  const request = http.request({
    host: controlHost,
    port: controlPort,
    method: "POST",
    path: `/api/instances/${id}/heartbeat`,
    headers: { "content-type": "application/json" },
    timeout: 1_000,
    agent: false,
  }, (response) => {
    response.resume();
    if (response.statusCode !== 200) at += 1;
    else if (sequence === 1) console.log("registered");
  });
  request.on("timeout", () => request.destroy());
  request.on("error", () => {
    at += 1;
  });
  request.end(body);
}

const server = http.createServer((request, response) => {
  const attempt = request.headers["x-attempt-id"] ?? "";
  if (request.url === "/api/report") return response.end("{}");
  if (request.url === "/health") {
    response.writeHead(200, { "x-instance-id": id });
    return response.end();
  }
  const expected = request.headers["x-expect-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { "x-not-executed": "1", "x-attempt-id": attempt });
    return response.end();
  }
  request.resume();
  request.on("end", () => answer(request, attempt));
});

// An answer that carries no length ends with its connection. The socket is written to
// directly, as the library would announce chunks.
async function answer({ socket, url }, attempt) {
  console.log(`run ${attempt}`);
  const isStream = url.startsWith("/stream/");
  const all = Array.from(
    { length: pieces },
    (_, piece) =>
      isStream
        ? `id: ${piece + 1}\ndata: piece ${piece + 1}\n\n`
        : `piece ${piece + 1}\n`,
  );
  const lengthBytes = Buffer.byteLength(all.join(""));
  socket.write(
    [
      "HTTP/1.1 200 OK",
      `X-Attempt-Id: ${attempt}`,
      `X-Server-Seal: seal-${lengthBytes}`,
      `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}`,
      ...(isFramed
        ? [`Content-Length: ${lengthBytes}`]
        : ["Connection: close"]),
      "",
      "",
    ].join("\r\n"),
  );
  for (const piece of all) {
    socket.write(piece);
    await new Promise((resolve) => setTimeout(resolve, gapMs));
  }
  if (!isFramed) socket.end();
}

function register() {
  beat();
  setInterval(beat, 1_200);
}

// A supervisor accepts the connections and hands them to its worker.
if (process.send) {
  process.on("message", (_message, socket) => {
    if (!socket) return;
    server.emit("connection", socket);
    socket.resume();
  });
  process.on("disconnect", () => process.exit(0));
  register();
} else server.listen(port, host, register);
