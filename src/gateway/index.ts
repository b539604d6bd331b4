/**
 * Gateways: they forward callers' requests to registered upstreams.
 *
 * @module
 */

export type { EarlyListener } from "./create_caller_server.ts";
export { createReadLimiter, type ReadMeter } from "./create_read_limiter.ts";
export { getExceededLimit, UpstreamLimitError } from "./gateway_error.ts";
export * from "./protocol.ts";
export * from "./start_gateway.ts";
