/**
 * Collections that are bounded.
 *
 * @module
 */

export * from "./forget_oldest.ts";
