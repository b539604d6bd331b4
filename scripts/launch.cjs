// Loads the bundle in the same folder with V8's code cache, which saves processor
// time at the start. Without a matching cache V8 compiles the bundle as usual.
//
// Usage: crowlever.cjs ROLE [HOST:PORT]. If an address is given, callers can connect
// to it at once; their connections are queued until the bundle has loaded.
//
// With CREATE_CACHE set, it writes the code cache of the role on exit: functions that
// have run by then are not compiled again in later processes. undici_parts.cjs gives
// the time saved.
"use strict";
// By default the signal would end the process. The settings are read only after the
// bundle has loaded, so there is nothing to read again before that. Loading the modules
// below takes some milliseconds, too.
process.on("SIGHUP", () => {});

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const Module = require("node:module");
const { createServer } = require("node:net");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const [role, address] = process.argv.slice(2);
const file = join(__dirname, "bundle.cjs");
const cacheFile = join(__dirname, `${role}.cache`);

function loadBundle() {
  const source = Module.wrap(readFileSync(file, "utf8"));
  const cachedData = existsSync(cacheFile)
    ? readFileSync(cacheFile)
    : undefined;
  const script = new Script(source, { filename: file, cachedData });
  const bundle = { exports: {} };
  const load = script.runInThisContext();
  load(bundle.exports, require, bundle, file, dirname(file));
  if (process.env.CREATE_CACHE) {
    process.on("exit", () => {
      writeFileSync(cacheFile, script.createCachedData());
    });
  }
  return bundle.exports;
}

function listenEarly() {
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
    close() {
      server.close();
    },
  };
  return new Promise((resolve) => {
    // The program listens itself later, and logs why it can't.
    server.on("error", () => resolve(undefined));
    server.listen({ host, port: Number(port), backlog: 511 }, () => {
      resolve(earlyListener);
    });
  });
}

async function run() {
  const earlyListener = address ? await listenEarly() : undefined;
  await loadBundle().main(role, { earlyListener });
}

void run();
