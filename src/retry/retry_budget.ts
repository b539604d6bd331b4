/**
 * A budget that keeps retries a small part of the load.
 *
 * @module
 */

/** Retries that may still be made; plain and immutable. */
export interface RetryBudget {
  /** Retries saved up; each retry spends one. */
  readonly tokens: number;
}

/** Options of the budget's functions. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly ratio?: number;
  /** Most retries that are saved up. */
  readonly maxTokens?: number;
}

/** Retries earned by each first try: at most a tenth of extra load. */
export const RETRY_RATIO = 0.1;

/** Retries saved up at most: enough for the death of one stage of many. */
export const MAX_RETRY_TOKENS = 50;

/**
 * Makes a budget with its savings full.
 *
 * @param options - The most that is saved up.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * const budget = createRetryBudget();
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  return { tokens: options.maxTokens ?? MAX_RETRY_TOKENS };
}

/**
 * Counts a first try.
 *
 * @param budget - The budget.
 * @param options - What a first try earns.
 * @returns The budget after it.
 * @throws Nothing.
 * @example
 * const next = earnRetry(budget);
 */
export function earnRetry(
  budget: RetryBudget,
  options: RetryBudgetOptions = {},
): RetryBudget {
  const { ratio = RETRY_RATIO, maxTokens = MAX_RETRY_TOKENS } = options;
  return { tokens: Math.min(maxTokens, budget.tokens + ratio) };
}

/**
 * Spends one retry.
 *
 * @param budget - The budget.
 * @returns The budget after it, or undefined where nothing is left.
 * @throws Nothing.
 * @example
 * const next = spendRetry(budget);
 */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
  if (budget.tokens < 1) return undefined;
  return { tokens: budget.tokens - 1 };
}
