import {planLinks} from '@figfall/decisions';
import type {Instance} from '@figfall/decisions';
import {computeModelAssignment} from '@figfall/operator';
import type {ConfigView} from '@figfall/operator';
import type {NodeContext} from '../node/node_context.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import type {EntrySettings} from './entry_settings.js';

/** Turns an assignment round: the servers of each model. */
function serversByModel(assigned: ReadonlyMap<string, readonly string[]>) {
  const models = [...new Set([...assigned.values()].flat())];
  return models.map(target => ({
    target,
    servers: [...assigned]
      .filter(([, held]) => held.includes(target))
      .map(([server]) => server),
  }));
}

function serversByService(view: ConfigView) {
  const servers = view
    .all('backend-server')
    .filter(({kind}) => kind === 'plain-service');
  const names = [...new Set(servers.map(({service, name}) => service ?? name))];
  return names.map(target => ({
    target,
    servers: servers
      .filter(({service, name}) => (service ?? name) === target)
      .map(({name}) => name),
  }));
}

/** Chooses the agents that an entry links to; recomputed on changes only. */
export class LinkPlanner {
  private planned?: {
    readonly revision: number;
    readonly instances: readonly Instance[];
  };

  constructor(
    private readonly context: NodeContext,
    private readonly settings: EntrySettings,
  ) {}

  /** Returns the agents to link to, or nothing where no input has changed. */
  plan(
    view: ConfigView,
    instances: readonly Instance[],
  ): Instance[] | undefined {
    const {revision} = view;
    const isSame =
      this.planned?.revision === revision &&
      this.planned.instances === instances;
    if (isSame) return undefined;
    this.planned = {revision, instances};
    const {hash} = this.context;
    const {id: entryId, zone, region, linksPerTarget} = this.settings;
    const targets = [
      ...serversByModel(computeModelAssignment(view, instances, hash)),
      ...serversByService(view),
    ];
    const options = {entryId, zone, region, linksPerTarget};
    const chosen = planLinks(instances, targets, options, hash);
    const zones = [...new Set(instances.map(instance => instance.zone))];
    const watched = zones.filter(
      name => selectStatusWriter(name, instances, hash) === entryId,
    );
    return instances.filter(
      instance =>
        instance.role === 'agent' &&
        (chosen.includes(instance.id) || watched.includes(instance.zone)),
    );
  }
}
