import {planLinks} from '@figfall/decisions';
import type {Instance} from '@figfall/decisions';
import {computeModelAssignment} from '@figfall/operator';
import type {ConfigView} from '@figfall/operator';
import type {NodeContext} from '../node/node_context.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import type {EntrySettings} from './entry_settings.js';

/** Converts models by server to servers by model. */
function serversByModel(assigned: ReadonlyMap<string, readonly string[]>) {
  const targets = [...new Set([...assigned.values()].flat())];
  return targets.map(target => ({
    target,
    servers: [...assigned]
      .filter(([, models]) => models.includes(target))
      .map(([server]) => server),
  }));
}

/** Returns the backend servers of each plain service. */
function serversByService(view: ConfigView) {
  const servers = view
    .all('backend-server')
    .filter(({kind}) => kind === 'plain-service');
  const targets = [
    ...new Set(servers.map(({service, name}) => service ?? name)),
  ];
  return targets.map(target => ({
    target,
    servers: servers
      .filter(({service, name}) => (service ?? name) === target)
      .map(({name}) => name),
  }));
}

/**
 * Chooses the agents that an entry links to: some for each model and service,
 * and all in the availability zones whose status it writes.
 */
export class LinkPlanner {
  private lastInput?: {
    readonly revision: number;
    readonly instances: readonly Instance[];
  };

  constructor(
    private readonly context: NodeContext,
    private readonly settings: EntrySettings,
  ) {}

  /**
   * Returns the agents to link to, or undefined if no input has changed since
   * the last call.
   */
  plan(
    view: ConfigView,
    instances: readonly Instance[],
  ): Instance[] | undefined {
    const {revision} = view;
    const isUnchanged =
      this.lastInput?.revision === revision &&
      this.lastInput.instances === instances;
    if (isUnchanged) return undefined;
    this.lastInput = {revision, instances};
    const {hash} = this.context;
    const {id: entryId, zone, region, linksPerTarget} = this.settings;
    const targets = [
      ...serversByModel(computeModelAssignment(view, instances, hash)),
      ...serversByService(view),
    ];
    const options = {entryId, zone, region, linksPerTarget};
    const chosen = planLinks(instances, targets, options, hash);
    const zones = [...new Set(instances.map(instance => instance.zone))];
    const statusZones = zones.filter(
      name => selectStatusWriter(name, instances, hash) === entryId,
    );
    return instances.filter(
      instance =>
        instance.role === 'agent' &&
        (chosen.includes(instance.id) || statusZones.includes(instance.zone)),
    );
  }
}
