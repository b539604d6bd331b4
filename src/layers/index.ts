/**
 * Layers of a model over engines: who holds which, and paths over them.
 *
 * @module
 */

export * from "./find_gaps.ts";
export * from "./find_layer_path.ts";
export * from "./design_copies.ts";
export * from "./layer_cover.ts";
export type { SpreadCover } from "./choose_spread.ts";
export * from "./plan_layer_orders.ts";
export * from "./token_room.ts";
export * from "./types.ts";
