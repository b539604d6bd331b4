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
  /** Returns the time of a prompt that was granted and does not use the link. */
  giveBack(service: string, options: { readonly linkTimeMs: number }): void;
}

/** The time that this gateway has in hand for one service. */
interface Part {
  readonly timeMs: number;
  readonly updatedMs: number;
  /** Number of gateways when it was updated. */
  readonly gateways: number;
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
 * The budget is empty at first: gateways that start together know of few others, and
 * each of them would otherwise use the burst of the whole fleet.
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
  const empty: Part = { timeMs: 0, updatedMs: now(), gateways: 1 };
  const parts = new Map<string, Part>();

  // When the number of gateways changed since the last update is not known, so the time
  // since then is divided among the larger number. Otherwise, a fall from 69 to 1 would
  // give each gateway the burst of the whole fleet.
  function refill(service: string): Part {
    const part = parts.get(service) ?? empty;
    const gateways = Math.max(1, getGatewayCount());
    const sharers = Math.max(gateways, part.gateways);
    // The later time is kept, so that no time is counted twice.
    const updatedMs = Math.max(part.updatedMs, now());
    const gainedMs = (updatedMs - part.updatedMs) * PROMPT_SHARE / sharers;
    const timeMs = Math.min(MAX_BURST_MS / sharers, part.timeMs + gainedMs);
    return { timeMs, updatedMs, gateways };
  }

  return {
    take(service, { linkTimeMs }) {
      const part = refill(service);
      const isCovered = part.timeMs >= linkTimeMs;
      const timeMs = isCovered ? part.timeMs - linkTimeMs : 0;
      parts.set(service, { ...part, timeMs });
      return isCovered || random() < part.timeMs / linkTimeMs;
    },
    // The next refill limits what is returned to this gateway's part of the burst: whole
    // prompts in the hands of each of many gateways would be a burst of seconds.
    giveBack(service, { linkTimeMs }) {
      const part = refill(service);
      parts.set(service, { ...part, timeMs: part.timeMs + linkTimeMs });
    },
  };
}
