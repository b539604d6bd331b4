/**
 * Computes how long a prompt occupies the link between data centres.
 *
 * @module
 */

import type { LayeredModel } from "../routes/index.ts";

const BITS_PER_BYTE = 8;

/** Bits per ms of a link of 1 Mbit/s. */
const BITS_PER_MS_PER_MBPS = 1_000;

/**
 * Gets the time for which the activations of a prompt occupy the link between two data
 * centres, if its path continues in the other one.
 *
 * @param model - The model, with the link that all of its requests share.
 * @param options - The number of tokens in the prompt.
 * @returns The time in ms; undefined where the model declares no link.
 * @throws Nothing.
 * @example
 * getLinkTimeMs(model, { promptTokens: 800 });
 */
export function getLinkTimeMs(
  model: Pick<LayeredModel, "activationBytes" | "placeLinkMbps">,
  options: { readonly promptTokens: number },
): number | undefined {
  const { activationBytes, placeLinkMbps } = model;
  if (!activationBytes || !placeLinkMbps) return undefined;
  const bits = options.promptTokens * activationBytes * BITS_PER_BYTE;
  return bits / (placeLinkMbps * BITS_PER_MS_PER_MBPS);
}
