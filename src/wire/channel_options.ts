/**
 * Options of the channels between the system's own processes.
 *
 * @module
 */

/** Largest message that is sent or taken, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Channel options: a restarted process is found again within half a second,
 * and a connection that is cut in silence is noticed within three.
 */
export const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 50,
  "grpc.min_reconnect_backoff_ms": 50,
  "grpc.max_reconnect_backoff_ms": 500,
  "grpc.keepalive_time_ms": 2_000,
  "grpc.keepalive_timeout_ms": 1_000,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  // Each client keeps its own connection, so that closing one cuts no other.
  "grpc.use_local_subchannel_pool": 1,
};
