import {orderLease} from '@figfall/decisions';
import type {Instance, OrderLeaseOptions} from '@figfall/decisions';
import type {ModelEngineClient} from '@figfall/model-engine';
import {computeModelAssignment} from '@figfall/operator';
import type {ConfigView} from '@figfall/operator';
import {createLoadPermits} from '@figfall/weight-store';
import type {NodeContext} from '../node/node_context.js';

interface ModelReconcilerOptions {
  readonly context: NodeContext;
  readonly backendServer: string;
  readonly engineClient: ModelEngineClient;
  readonly weightStoreLoads: number;
}

/** Configuration, cluster members, and the models loaded on the engine. */
interface ReconcileInput {
  readonly view: ConfigView;
  readonly instances: readonly Instance[];
  readonly models: readonly string[];
}

interface LeaseObject {
  readonly fencingNumber: number;
  readonly holder: string;
}

/** Milliseconds after an order for which load reports may be out of date. */
const REPORT_LAG_MS = 1_000;
const LEASE_DURATION_MS = 5_000;
const MAX_ORDER_DURATION_MS = 120_000;
const PERMIT_TTL_MS = 120_000;

/**
 * Loads and unloads models so that the engine holds those that the
 * configuration assigns to it. Orders are sent one at a time, under a lease
 * whose fencing number lets the engine reject orders of an earlier holder.
 */
export class ModelReconciler {
  private lease = orderLease.create();
  private hasPendingOrder = false;
  /** Epoch milliseconds until which load reports may predate the last order. */
  private nextOrderAt = 0;
  /** Last assignment; valid for one revision and one list of instances. */
  private cachedAssignment?: {
    readonly revision: number;
    readonly instances: readonly Instance[];
    readonly models: readonly string[];
  };
  private readonly permits;

  constructor(private readonly options: ModelReconcilerOptions) {
    this.permits = createLoadPermits({
      platform: options.context.platform,
      limit: options.weightStoreLoads,
      ttlMs: PERMIT_TTL_MS,
    });
  }

  /**
   * Starts at most one order if the loaded models differ from the assigned
   * ones; a missing model is loaded before a surplus one is unloaded.
   */
  reconcile(input: ReconcileInput): void {
    if (this.hasPendingOrder || Date.now() < this.nextOrderAt) return;
    const assigned = this.assignedModels(input);
    const missing = assigned.find(name => !input.models.includes(name));
    const surplus = input.models.find(name => !assigned.includes(name));
    if (!missing && !surplus) return;
    const fencingNumber = this.fencingNumber(input.view);
    if (fencingNumber === undefined) return this.stepLease(input.view);
    this.hasPendingOrder = true;
    const order = missing
      ? this.load(missing, fencingNumber, input.view)
      : this.unload(surplus ?? '', fencingNumber, input.view);
    order
      .catch((error: Error) => this.options.context.logger.warn(error.message))
      .finally(() => {
        this.hasPendingOrder = false;
        this.nextOrderAt = Date.now() + REPORT_LAG_MS;
      });
  }

  private assignedModels({view, instances}: ReconcileInput): readonly string[] {
    const {backendServer, context} = this.options;
    const isCurrent =
      this.cachedAssignment?.revision === view.revision &&
      this.cachedAssignment.instances === instances;
    if (!isCurrent || !this.cachedAssignment) {
      const assignment = computeModelAssignment(view, instances, context.hash);
      const models = assignment.get(backendServer) ?? [];
      this.cachedAssignment = {revision: view.revision, instances, models};
    }
    return this.cachedAssignment.models;
  }

  private leaseOptions(view: ConfigView): OrderLeaseOptions {
    const {context, backendServer} = this.options;
    const server = view.find('backend-server', backendServer);
    return {
      holder: `${context.identity.id}/${context.identity.incarnation}`,
      leaseMs: LEASE_DURATION_MS,
      maxOrderMs: MAX_ORDER_DURATION_MS,
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
      const nextEvent =
        command.type === 'read'
          ? this.readLease()
          : this.writeLease(command.lease, command.expectedVersion);
      void nextEvent.then(event => this.stepLease(view, event));
    });
  }

  private leaseKey(): string {
    return `orders/${this.options.backendServer}`;
  }

  private async readLease(): Promise<Parameters<typeof orderLease.step>[1]> {
    const result = await this.options.context.platform.get(this.leaseKey());
    if (result.isOk()) {
      const lease = JSON.parse(result.value.value) as LeaseObject;
      return {type: 'read', version: result.value.version, lease};
    }
    if (result.error.type !== 'not-found') return {type: 'read-failed'};
    return {type: 'read', version: 0};
  }

  private async writeLease(
    lease: LeaseObject,
    expectedVersion: number,
  ): Promise<Parameters<typeof orderLease.step>[1]> {
    const {platform} = this.options.context;
    const text = JSON.stringify(lease);
    const result = await platform.put(this.leaseKey(), text, expectedVersion);
    if (result.isOk()) return {type: 'written', version: result.value};
    return {type: result.error.type === 'conflict' ? 'conflict' : 'write-lost'};
  }

  private findWeights(name: string, view: ConfigView): string {
    const [base, adapterName] = name.split('+');
    const [modelName, version] = base.split('@');
    const adapter = view.find('adapter', adapterName ?? '');
    const model = view
      .all('model')
      .find(record => record.name === modelName && record.version === version);
    return adapter?.weights ?? model?.weights ?? '';
  }

  private async load(
    model: string,
    fencingNumber: number,
    view: ConfigView,
  ): Promise<void> {
    const {backendServer, engineClient, context} = this.options;
    if (!(await this.permits.tryAcquire(backendServer))) return;
    try {
      // The lease may have expired while waiting for the permit.
      if (this.fencingNumber(view) !== fencingNumber) return;
      const weights = this.findWeights(model, view);
      const order = {action: 'load', model, weights, fencingNumber} as const;
      const result = await engineClient.sendOrder(order);
      if (result.isErr()) context.logger.warn(result.error.message, {model});
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
      weights: this.findWeights(model, view),
      fencingNumber,
    } as const;
    await this.options.engineClient.sendOrder(order);
  }
}
