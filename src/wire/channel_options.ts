/**
 * Options of the gRPC channels between the processes of the system.
 *
 * @module
 */

/** Largest message that is sent or accepted, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Channel options. Reconnects to a restarted process within half a second, and
 * detects a connection that broke without a reset within three seconds.
 */
export const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 50,
  "grpc.min_reconnect_backoff_ms": 50,
  "grpc.max_reconnect_backoff_ms": 500,
  "grpc.keepalive_time_ms": 2_000,
  "grpc.keepalive_timeout_ms": 1_000,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  // Each client has its own connection, so that closing one doesn't affect others.
  "grpc.use_local_subchannel_pool": 1,
};
