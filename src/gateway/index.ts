/**
 * Gateways: callers on one side, upstreams that register themselves on the
 * other.
 *
 * @module
 */

export type { EarlyListener } from "./create_caller_server.ts";
export * from "./protocol.ts";
export * from "./start_gateway.ts";
