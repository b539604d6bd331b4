/**
 * HTTP: servers, problem documents, header parsing, secrets.
 *
 * @module
 */

export * from "./check_address_free.ts";
export * from "./close_server.ts";
export * from "./connection_headers.ts";
export * from "./create_body_memory.ts";
export * from "./create_limited_server.ts";
export * from "./create_reset_detector.ts";
export * from "./create_server.ts";
export * from "./discard_body.ts";
export * from "./is_known_status.ts";
export * from "./probe_address.ts";
export * from "./problem.ts";
export * from "./read_back_off_ms.ts";
export * from "./read_body.ts";
export * from "./read_framing.ts";
export * from "./read_limited_body.ts";
export * from "./read_rate_limit.ts";
export * from "./read_retry_after.ts";
export * from "./retry_while_address_in_use.ts";
export * from "./secrets.ts";
export * from "./share_connections.ts";
export * from "./with_timeout.ts";
