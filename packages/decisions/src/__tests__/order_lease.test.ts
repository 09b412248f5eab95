import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {orderLease} from '../placement/order_lease.js';

const LEASE_MS = 100;
const ORDER_MS = 300;

interface LeaseObject {
  readonly fencingNumber: number;
  readonly holder: string;
}

/** The platform object that stores the lease, with conditional updates. */
class LeaseStore {
  version = 0;
  lease?: LeaseObject;

  put(expected: number, lease: LeaseObject): boolean {
    if (expected !== this.version) return false;
    this.version += 1;
    this.lease = lease;
    return true;
  }
}

class Holder {
  state = orderLease.create();
  orders: {readonly at: number; readonly number: number}[] = [];

  constructor(
    private readonly store: LeaseStore,
    private readonly checksFencing: boolean,
    readonly name: string,
  ) {}

  private options() {
    return {
      holder: this.name,
      leaseMs: LEASE_MS,
      maxOrderMs: ORDER_MS,
      checksFencing: this.checksFencing,
    };
  }

  /** One tick of the lease; `losesResponse` loses responses to writes. */
  tick(now: number, losesResponse: boolean): void {
    const options = this.options();
    const step = orderLease.step(this.state, {type: 'tick'}, options, now);
    this.state = step.state;
    step.commands.forEach(command => {
      const {version, lease} = this.store;
      const event =
        command.type === 'read'
          ? ({type: 'read', version, lease} as const)
          : this.write(command.expectedVersion, command.lease, losesResponse);
      this.state = orderLease.step(this.state, event, options, now).state;
    });
    const number = orderLease.fencingNumber(this.state, options, now);
    if (number !== undefined) this.orders.push({at: now, number});
  }

  private write(expected: number, lease: LeaseObject, losesResponse: boolean) {
    const succeeded = this.store.put(expected, lease);
    if (losesResponse) return {type: 'write-lost'} as const;
    return succeeded
      ? ({type: 'written', version: this.store.version} as const)
      : ({type: 'conflict'} as const);
  }
}

test('a new holder sends no order while one of the old holder can still run', () => {
  const step = fc.record({
    holder: fc.nat(1),
    waitMs: fc.integer({min: 1, max: 120}),
    losesResponse: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 80}), steps => {
      const store = new LeaseStore();
      const holders = ['a', 'b'].map(name => new Holder(store, false, name));
      let now = 0;
      steps.forEach(({holder, waitMs, losesResponse}) => {
        now += waitMs;
        holders[holder].tick(now, losesResponse);
      });
      const orders = holders
        .flatMap(({orders: list, name}) => list.map(o => ({...o, name})))
        .sort((x, y) => x.at - y.at);
      orders.slice(1).forEach((order, i) => {
        const previous = orders[i];
        if (order.name === previous.name) return;
        expect(order.number > previous.number).toEqual(true);
        expect(order.at - previous.at >= ORDER_MS).toEqual(true);
      });
    }),
    {seed: 11, numRuns: 2_000},
  );
});

test('a holder that was paused until its lease expired sends no order', () => {
  const store = new LeaseStore();
  const holder = new Holder(store, true, 'a');
  holder.tick(0, false);
  holder.tick(1, false);
  expect(holder.orders.length).toEqual(1);
  const options = {
    holder: 'a',
    leaseMs: LEASE_MS,
    maxOrderMs: ORDER_MS,
    checksFencing: true,
  };
  expect(orderLease.fencingNumber(holder.state, options, 200)).toEqual(
    undefined,
  );
});
