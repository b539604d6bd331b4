/**
 * Clients for the HTTP interface of upstreams.
 *
 * @module
 */

export * from "./call_stage.ts";
export * from "./create_upstream_client.ts";
export * from "./send_order.ts";
export * from "./upstream_error.ts";
