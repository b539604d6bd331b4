/**
 * This gateway's part of the link between data centres.
 *
 * @module
 */

/** What the budget depends on. */
export interface CreateLinkBudgetOptions {
  /** Number of gateways that share the link, including this one. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Time on the link that this gateway may use. */
export interface LinkBudget {
  /**
   * Takes time on the link for one prompt.
   *
   * @returns Whether the prompt may use the link.
   */
  take(service: string, options: { readonly linkTimeMs: number }): boolean;
}

/**
 * Share of the link's time that prompts may take. The rest is for the tokens of running
 * streams, and keeps the queue on the link short: at a share of 0.5 a prompt waits for
 * half of another one on average.
 */
const PROMPT_SHARE = 0.5;

/**
 * Time on the link, in ms, that all gateways together may use at once after a pause: a
 * fifth of a first-event objective of 500 ms.
 */
const MAX_BURST_MS = 100;

/**
 * Creates the budget. Each gateway gets an even part of the link's time. With many
 * gateways a part is less than one prompt: a prompt is then admitted with the
 * probability that the part covers, so that all gateways together keep to the link's
 * rate without exchanging messages. A limit on the prompts of each gateway instead
 * grows with the number of gateways: with 69 of them and two prompts each, prompts
 * queued for seconds, and callers gave up.
 *
 * @param options - The number of gateways, the clock and the source of randomness.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * const linkBudget = createLinkBudget({ getGatewayCount, now, random });
 */
export function createLinkBudget(
  options: CreateLinkBudgetOptions,
): LinkBudget {
  const { getGatewayCount, now, random } = options;
  const parts = new Map<string, { timeMs: number; updatedMs: number }>();

  function refill(service: string): number {
    const gateways = Math.max(1, getGatewayCount());
    const maxMs = MAX_BURST_MS / gateways;
    const part = parts.get(service);
    if (!part) return maxMs;
    const gainedMs = (now() - part.updatedMs) * PROMPT_SHARE / gateways;
    return Math.min(maxMs, part.timeMs + gainedMs);
  }

  return {
    take(service, { linkTimeMs }) {
      const timeMs = refill(service);
      const isCovered = timeMs >= linkTimeMs;
      const leftMs = isCovered ? timeMs - linkTimeMs : 0;
      parts.set(service, { timeMs: leftMs, updatedMs: now() });
      return isCovered || random() < timeMs / linkTimeMs;
    },
  };
}
