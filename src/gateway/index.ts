/**
 * Gateways: callers on one side, upstreams that register themselves on the
 * other.
 *
 * @module
 */

export * from "./protocol.ts";
export * from "./start_gateway.ts";
