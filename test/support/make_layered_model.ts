/**
 * Small layered models for tests.
 *
 * @module
 */

import type { LayeredModel } from "../../src/routes/index.ts";

/** Makes a model of eight layers; by default one card can hold all of them. */
export function makeLayeredModel(
  fields: Partial<LayeredModel> = {},
): LayeredModel {
  return {
    layers: 8,
    layerMb: 100,
    kvTokenBytes: 1_000,
    loadMs: 1_000,
    loadsAtOnce: 6,
    slots: 8,
    stepMs: 1,
    requestStepMs: 0.01,
    contextStepMs: 0,
    readTokensPerS: 1_000,
    usualPromptTokens: 20,
    usualAnswerTokens: 20,
    cards: [{ name: "card", memoryMb: 1_000, stepFactor: 1, readFactor: 1 }],
    ...fields,
  };
}
