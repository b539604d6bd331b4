// The supervisor of an engine: it holds the listening socket, hands each connection to its
// worker, and starts the worker anew when that has crashed. Each start has an id of its own.
import { fork } from "node:child_process";
import net from "node:net";

const engine = JSON.parse(process.env.ENGINE);
const file = new URL("engine_process.mjs", import.meta.url);
let worker;
let starts = 0;

function startWorker() {
  starts += 1;
  const id = starts === 1 ? engine.id : `${engine.id}-${starts}`;
  worker = fork(file, {
    env: { ...process.env, ENGINE: JSON.stringify({ ...engine, id }) },
  });
  console.log(`worker ${worker.pid} is ${id}`);
  worker.on("error", () => {});
  worker.on("exit", startWorker);
}

startWorker();
net.createServer({ pauseOnConnect: true }, (socket) => {
  socket.on("error", () => {});
  worker.send("connection", socket);
}).listen(engine.port, engine.host);
