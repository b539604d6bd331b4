/**
 * Gateways: they forward callers' requests to registered upstreams.
 *
 * @module
 */

export type { EarlyListener } from "./create_caller_server.ts";
export * from "./create_engine_client.ts";
export { getExceededLimit } from "./gateway_error.ts";
export * from "./protocol.ts";
export * from "./start_gateway.ts";
