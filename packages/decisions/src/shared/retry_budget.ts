/**
 * Limits retries to a share of first attempts, so that retries cannot
 * multiply load during an outage. Holds a balance that each first attempt
 * raises and each retry lowers.
 */
interface Budget {
  readonly balance: number;
}

interface BudgetOptions {
  /** Retries earned by one first attempt. */
  readonly ratio: number;
  /** Largest balance. */
  readonly burst: number;
}

/** Pure retry budget of one entry. */
export const retryBudget = {
  create(options: BudgetOptions): Budget {
    return {balance: options.burst};
  },

  recordAttempt(budget: Budget, options: BudgetOptions): Budget {
    return {balance: Math.min(options.burst, budget.balance + options.ratio)};
  },

  /** Spends one retry; `allowed` is false where the balance is under one. */
  spend(budget: Budget): {budget: Budget; allowed: boolean} {
    if (budget.balance < 1) return {budget, allowed: false};
    return {budget: {balance: budget.balance - 1}, allowed: true};
  },
};
