/**
 * Durable state: checksummed frames, log, snapshots and the data folder's lock.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./create_memory_storage.ts";
export * from "./frame.ts";
export * from "./identity.ts";
export * from "./is_passing_error.ts";
export * from "./lock_data_folder.ts";
export * from "./open_quorum_storage.ts";
export * from "./read_stored_state.ts";
export * from "./replace_damaged_state.ts";
export * from "./storage_error.ts";
