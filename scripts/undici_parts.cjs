// The modules of undici that the programs use. The index of undici also loads fetch,
// caches, mocks and WebSockets, all of which are evaluated at the start. With these
// modules and the code cache of the role (launch.cjs), the start and eight idle seconds
// of a gateway take 480 to 540 ms of processor time and 75 MB instead of 590 to 710 ms
// and 79 MB (npm run measure -- profile).
"use strict";
const Agent = require("undici/lib/dispatcher/agent.js");
const Client = require("undici/lib/dispatcher/client.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const request = require("undici/lib/api/api-request.js");
const buildConnector = require("undici/lib/core/connect.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Client, Dispatcher, Pool, buildConnector };
