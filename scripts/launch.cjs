// Loads the bundle beside it with V8's code cache: a start then takes less
// processor time. Without a cache that fits, V8 compiles as usual.
//
// Usage: crowlever.cjs ROLE [HOST:PORT]. Where an address is given, callers can
// connect there at once; their connections wait until the bundle is loaded.
//
// With CREATE_CACHE set it writes the cache and ends.
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const Module = require("node:module");
const { createServer } = require("node:net");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const file = join(__dirname, "bundle.cjs");
const cacheFile = join(__dirname, "bundle.cache");

function loadBundle() {
  const source = Module.wrap(readFileSync(file, "utf8"));
  const cachedData = existsSync(cacheFile)
    ? readFileSync(cacheFile)
    : undefined;
  const script = new Script(source, { filename: file, cachedData });
  const bundle = { exports: {} };
  const load = script.runInThisContext();
  load(bundle.exports, require, bundle, file, dirname(file));
  return { script, exports: bundle.exports };
}

function listenEarly(address) {
  const [host, port] = address.split(":");
  let waiting = [];
  let onConnection = (socket) => waiting.push(socket);
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    onConnection(socket);
  });
  const earlyListener = {
    take(take) {
      onConnection = take;
      waiting.forEach(take);
      waiting = [];
    },
  };
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen({ host, port: Number(port), backlog: 511 }, () => {
      resolve(earlyListener);
    });
  });
}

async function run() {
  const [role, address] = process.argv.slice(2);
  const earlyListener = address ? await listenEarly(address) : undefined;
  await loadBundle().exports.main(role, { earlyListener });
}

if (process.env.CREATE_CACHE) {
  writeFileSync(cacheFile, loadBundle().script.createCachedData());
} else {
  void run();
}
