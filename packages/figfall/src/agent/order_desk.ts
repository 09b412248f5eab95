import {orderLease} from '@figfall/decisions';
import type {Instance, OrderLeaseOptions} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import {computeModelAssignment} from '@figfall/operator';
import type {ConfigView} from '@figfall/operator';
import {createLoadPermits} from '@figfall/weight-store';
import type {NodeContext} from '../node/node_context.js';

interface OrderDeskOptions {
  readonly context: NodeContext;
  readonly backendServer: string;
  readonly engine: ModelEngineClient;
  readonly weightStoreLoads: number;
}

/** What the engine should hold and holds. */
interface Holdings {
  readonly view: ConfigView;
  readonly instances: readonly Instance[];
  readonly models: readonly string[];
}

interface LeaseObject {
  readonly fencingNumber: number;
  readonly holder: string;
}

/** Milliseconds by which load reports may lag behind an order. */
const REPORT_LAG_MS = 1_000;
const LEASE_MS = 5_000;
const ORDER_MS = 120_000;
const PERMIT_MS = 120_000;

/** Orders an engine to hold the models that records place on it. */
export class OrderDesk {
  private lease = orderLease.create();
  private isOrdering = false;
  /** Time until which load reports may still show the state before. */
  private notBefore = 0;
  /** Last assignment, kept while records and members stay the same. */
  private assigned?: {
    readonly revision: number;
    readonly instances: readonly Instance[];
    readonly own: readonly string[];
  };
  private readonly permits;

  constructor(private readonly options: OrderDeskOptions) {
    this.permits = createLoadPermits({
      platform: options.context.platform,
      limit: options.weightStoreLoads,
      ttlMs: PERMIT_MS,
    });
  }

  /** Starts the next order, if the engine does not hold what it should. */
  tick(holdings: Holdings): void {
    if (this.isOrdering || Date.now() < this.notBefore) return;
    const wanted = this.wantedModels(holdings);
    const missing = wanted.find(name => !holdings.models.includes(name));
    const surplus = holdings.models.find(name => !wanted.includes(name));
    if (!missing && !surplus) return;
    const fencingNumber = this.fencingNumber(holdings.view);
    if (fencingNumber === undefined) return this.stepLease(holdings.view);
    this.isOrdering = true;
    const order = missing
      ? this.load(missing, fencingNumber, holdings.view)
      : this.unload(surplus ?? '', fencingNumber, holdings.view);
    order
      .catch((error: Error) => this.options.context.logger.warn(error.message))
      .finally(() => {
        this.isOrdering = false;
        this.notBefore = Date.now() + REPORT_LAG_MS;
      });
  }

  private wantedModels({view, instances}: Holdings): readonly string[] {
    const {backendServer, context} = this.options;
    const isSame =
      this.assigned?.revision === view.revision &&
      this.assigned.instances === instances;
    if (!isSame || !this.assigned) {
      const models = computeModelAssignment(view, instances, context.hash);
      const own = models.get(backendServer) ?? [];
      this.assigned = {revision: view.revision, instances, own};
    }
    return this.assigned.own;
  }

  private leaseOptions(view: ConfigView): OrderLeaseOptions {
    const {context, backendServer} = this.options;
    const server = view.find('backend-server', backendServer);
    return {
      holder: `${context.identity.id}/${context.identity.incarnation}`,
      leaseMs: LEASE_MS,
      maxOrderMs: ORDER_MS,
      checksFencing: server?.checksFencing ?? false,
    };
  }

  private fencingNumber(view: ConfigView): number | undefined {
    const options = this.leaseOptions(view);
    return orderLease.fencingNumber(this.lease, options, Date.now());
  }

  private stepLease(
    view: ConfigView,
    event: Parameters<typeof orderLease.step>[1] = {type: 'tick'},
  ): void {
    const options = this.leaseOptions(view);
    const step = orderLease.step(this.lease, event, options, Date.now());
    this.lease = step.state;
    step.commands.forEach(command => {
      const answer =
        command.type === 'read'
          ? this.readLease()
          : this.writeLease(command.lease, command.expectedVersion);
      void answer.then(next => this.stepLease(view, next));
    });
  }

  private key(): string {
    return `orders/${this.options.backendServer}`;
  }

  private async readLease(): Promise<Parameters<typeof orderLease.step>[1]> {
    const got = await this.options.context.platform.get(this.key());
    if (got.isOk()) {
      const lease = JSON.parse(got.value.value) as LeaseObject;
      return {type: 'read', version: got.value.version, lease};
    }
    if (got.error.type !== 'not-found') return {type: 'read-failed'};
    return {type: 'read', version: 0};
  }

  private async writeLease(
    lease: LeaseObject,
    expectedVersion: number,
  ): Promise<Parameters<typeof orderLease.step>[1]> {
    const {platform} = this.options.context;
    const text = JSON.stringify(lease);
    const put = await platform.put(this.key(), text, expectedVersion);
    if (put.isOk()) return {type: 'written', version: put.value};
    return {type: put.error.type === 'conflict' ? 'conflict' : 'write-lost'};
  }

  private weightsOf(name: string, view: ConfigView): string {
    const [base, adapterName] = name.split('+');
    const [modelName, version] = base.split('@');
    const adapter = view.find('adapter', adapterName ?? '');
    const model = view
      .all('model')
      .find(known => known.name === modelName && known.version === version);
    return adapter?.weights ?? model?.weights ?? '';
  }

  private async load(
    model: string,
    fencingNumber: number,
    view: ConfigView,
  ): Promise<void> {
    const {backendServer, engine, context} = this.options;
    if (!(await this.permits.tryAcquire(backendServer))) return;
    try {
      // The lease may have lapsed while the permit was waited for.
      if (this.fencingNumber(view) !== fencingNumber) return;
      const weights = this.weightsOf(model, view);
      const order = {action: 'load', model, weights, fencingNumber} as const;
      const done = await engine.sendOrder(order);
      if (done.isErr()) context.logger.warn(done.error.message, {model});
    } finally {
      await this.permits.release(backendServer);
    }
  }

  private async unload(
    model: string,
    fencingNumber: number,
    view: ConfigView,
  ): Promise<void> {
    const order = {
      action: 'unload',
      model,
      weights: this.weightsOf(model, view),
      fencingNumber,
    } as const;
    await this.options.engine.sendOrder(order);
  }
}
