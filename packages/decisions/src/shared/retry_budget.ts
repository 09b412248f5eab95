/** Number of retries that are allowed at present; fractions add up. */
interface Budget {
  readonly balance: number;
}

interface BudgetOptions {
  /** Retries added to the balance by each first attempt. */
  readonly ratio: number;
  /** Maximum and initial balance. */
  readonly burst: number;
}

/**
 * Limits retries to a share of first attempts, so that retries can't multiply
 * the load during an outage. All functions return a new budget.
 */
export const retryBudget = {
  create(options: BudgetOptions): Budget {
    return {balance: options.burst};
  },

  /** Records a first attempt. */
  recordAttempt(budget: Budget, options: BudgetOptions): Budget {
    return {balance: Math.min(options.burst, budget.balance + options.ratio)};
  },

  /** Spends one retry; `allowed` is false if the balance is under 1. */
  spend(budget: Budget): {budget: Budget; allowed: boolean} {
    if (budget.balance < 1) return {budget, allowed: false};
    return {budget: {balance: budget.balance - 1}, allowed: true};
  },
};
