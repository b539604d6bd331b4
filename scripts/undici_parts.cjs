// The parts of undici that the programs use. Its index also loads fetch, caches,
// mocks and WebSockets, and a start evaluates all of it. With these parts and a code
// cache of its role (launch.cjs) start and eight idle seconds of a gateway take 480 to
// 540 ms of processor time and 75 MB in place of 590 to 710 ms and 79 MB (npm run
// measure -- profile, side by side).
"use strict";
const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const request = require("undici/lib/api/api-request.js");
const buildConnector = require("undici/lib/core/connect.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
