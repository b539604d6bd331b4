/**
 * Retry budget: limits retries to a small fraction of the load.
 *
 * @module
 */

/** State of the budget; a plain immutable value. */
export interface RetryBudget {
  /** Retries available; each retry spends one token. */
  readonly tokens: number;
}

/** Options of {@link createRetryBudget} and {@link earnRetry}. */
export interface RetryBudgetOptions {
  /** Tokens earned by each first attempt. */
  readonly ratio?: number;
  /** Maximum number of tokens. */
  readonly maxTokens?: number;
}

/** Tokens earned by each first attempt: retries add at most a tenth to the load. */
export const RETRY_RATIO = 0.1;

/** Maximum number of tokens: enough for the crash of one stage among many. */
export const MAX_RETRY_TOKENS = 50;

/**
 * Tokens of a process that has just started: it doesn't know what the one before it
 * has spent.
 */
export const INITIAL_RETRY_TOKENS = 5;

/**
 * Creates the budget of a process that has just started.
 *
 * @param options - The maximum number of tokens.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * const budget = createRetryBudget();
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const { maxTokens = MAX_RETRY_TOKENS } = options;
  return { tokens: Math.min(maxTokens, INITIAL_RETRY_TOKENS) };
}

/**
 * Adds the tokens that a first attempt earns.
 *
 * @param budget - The budget.
 * @param options - The tokens earned and the maximum.
 * @returns The budget after the attempt.
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
 * @returns The budget after the retry, or undefined if it is exhausted.
 * @throws Nothing.
 * @example
 * const next = spendRetry(budget);
 */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
  if (budget.tokens < 1) return undefined;
  return { tokens: budget.tokens - 1 };
}
