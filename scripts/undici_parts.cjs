// The parts of undici that the programs use. Its index also loads fetch, caches,
// mocks and WebSockets, and a start evaluates all of it. Start and eight idle seconds
// of a gateway take 510 ms of processor time and 79 MB with the index, 440 ms and 73
// MB with these parts (npm run measure -- profile, beside load).
"use strict";
const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const request = require("undici/lib/api/api-request.js");
const buildConnector = require("undici/lib/core/connect.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
