import {retryBudget} from '@figfall/decisions';
import {GATEWAY} from '../constants.js';
import type {RetryBounds} from './retry_bounds.js';

type RetryBudget = ReturnType<typeof retryBudget.create>;

/** The retry budget of each service at one gateway. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();
  private gatewayCount = 1;

  constructor(private bounds: RetryBounds) {}

  setBounds(bounds: RetryBounds): void {
    this.bounds = bounds;
  }

  /** Sets the number of gateways that share the bounds. */
  setGatewayCount(count: number): void {
    this.gatewayCount = count;
  }

  /** Records a first attempt. */
  credit(service: string): void {
    const budget = this.budget(service);
    this.budgets.set(
      service,
      retryBudget.recordAttempt(budget, this.budgetOptions()),
    );
  }

  /** Spends one retry; false if there is none left. */
  spend(service: string): boolean {
    const spent = retryBudget.spend(this.budget(service));
    this.budgets.set(service, spent.budget);
    return spent.allowed;
  }

  private budget(service: string): RetryBudget {
    return (
      this.budgets.get(service) ?? retryBudget.create(this.budgetOptions())
    );
  }

  private budgetOptions() {
    const {ratio, slack} = this.bounds;
    return {
      ratio: ratio * GATEWAY.RETRY_BUDGET_SHARE,
      burst: (slack * GATEWAY.RETRY_BUDGET_SHARE) / this.gatewayCount,
    };
  }
}
