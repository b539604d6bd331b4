// The parts of undici that the programs use. Its index also loads fetch, caches,
// mocks and WebSockets, and a start evaluates all of it.
"use strict";
const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const request = require("undici/lib/api/api-request.js");
const buildConnector = require("undici/lib/core/connect.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
