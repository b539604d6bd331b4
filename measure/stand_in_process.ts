/**
 * Runs a mock upstream in a separate process, so that it takes no processor time
 * from the measuring process: `node stand_in_process.js plain|engine PORT`.
 *
 * @module
 */

import { createServer } from "node:http";
import process from "node:process";
import { startEngine } from "../standins/index.ts";
import { LAYER_COUNT } from "../demo/trial_resources.ts";

const [kind, port] = process.argv.slice(2);

if (kind === "engine") {
  await startEngine({ layerCount: LAYER_COUNT, port: Number(port) });
} else {
  const body = JSON.stringify({ reading: 4.2 });
  const headers = {
    "content-type": "application/json",
    "content-length": String(body.length),
  };
  createServer((_request, response) => {
    response.writeHead(200, headers);
    response.end(body);
  }).listen(Number(port), "127.0.0.1");
}
