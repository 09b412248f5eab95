import type {Instance} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import type {ZoneStatus} from '@figfall/operator';
import type {NodeContext} from '../node/node_context.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import type {AgentViews} from './agent_views.js';
import {ENTRY} from './entry_constants.js';

interface StatusInput {
  readonly instances: readonly Instance[];
  readonly revision: number;
  readonly now: number;
}

interface HeardRevision {
  readonly revision: number;
  readonly at: number;
}

/** What was last written for a zone. */
interface WrittenStatus {
  readonly text: string;
  readonly at: number;
  /** Version of the object; 0 where none is known. */
  readonly version: number;
  readonly isWriting: boolean;
  readonly inForce?: {readonly revision: number; readonly since: string};
}

const NEVER_WRITTEN: WrittenStatus = {
  text: '',
  at: 0,
  version: 0,
  isWriting: false,
};

/** Milliseconds after which the revision of a node counts as unknown. */
const HEARD_MS = 15_000;

/** Writes the status of the availability zones that this entry is writer of. */
export class StatusWriter {
  private readonly heard = new Map<string, HeardRevision>();
  private readonly written = new Map<string, WrittenStatus>();

  private checkedAt = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly views: AgentViews,
  ) {}

  /** Learns the revisions of nodes that an agent is linked to. */
  hear(
    nodes: readonly {readonly id: string; readonly revision: number}[],
  ): void {
    const at = Date.now();
    nodes.forEach(({id, revision}) => this.heard.set(id, {revision, at}));
  }

  /** Writes the status of each zone that is this entry's, if it changed. */
  tick(input: StatusInput): void {
    const {identity, hash} = this.context;
    if (input.now - this.checkedAt < ENTRY.STATUS_MS) return;
    this.checkedAt = input.now;
    [...new Set(input.instances.map(({zone}) => zone))]
      .filter(
        zone => selectStatusWriter(zone, input.instances, hash) === identity.id,
      )
      .forEach(zone => this.review(zone, input));
  }

  private review(zone: string, input: StatusInput): void {
    const known = this.written.get(zone) ?? NEVER_WRITTEN;
    const nodes = this.nodes(zone, input);
    const text = JSON.stringify({nodes, revision: input.revision});
    const isOld = input.now - known.at >= ENTRY.STATUS_REFRESH_MS;
    if (known.isWriting || (text === known.text && !isOld)) return;
    const inForce = this.inForce(nodes, input, known);
    const next = {...known, text, inForce, at: input.now, isWriting: true};
    this.written.set(zone, next);
    void this.write(next, {
      zone,
      at: new Date(input.now).toISOString(),
      writer: this.context.identity.id,
      revision: input.revision,
      inForceSince: inForce?.since,
      nodes,
    });
  }

  private nodes(
    zone: string,
    {instances, revision, now}: StatusInput,
  ): ZoneStatus['nodes'] {
    const {identity} = this.context;
    return instances
      .filter(instance => instance.zone === zone)
      .map(({id, role, backendServer}) => {
        if (id === identity.id) return {id, role, revision};
        if (role === 'agent') return {...this.agent(id), backendServer};
        const heard = this.heard.get(id);
        const isFresh = heard && now - heard.at < HEARD_MS;
        return {id, role, revision: isFresh ? heard.revision : undefined};
      });
  }

  private agent(id: string): ZoneStatus['nodes'][number] {
    const view = this.views.find(id);
    if (!view?.linked) return {id, role: 'agent'};
    const {configRevision, phase, inService, running, queued} = view.report;
    return {
      id,
      role: 'agent',
      revision: configRevision,
      phase,
      inService,
      running,
      queued,
    };
  }

  private inForce(
    nodes: ZoneStatus['nodes'],
    {revision, now}: StatusInput,
    known: WrittenStatus,
  ): WrittenStatus['inForce'] {
    const isEverywhere = nodes.every(node => (node.revision ?? 0) >= revision);
    if (!isEverywhere) return undefined;
    if (known.inForce?.revision === revision) return known.inForce;
    return {revision, since: new Date(now).toISOString()};
  }

  private async write(known: WrittenStatus, status: ZoneStatus): Promise<void> {
    const {platform} = this.context;
    const key = recordKeys.status(`zone/${status.zone}`);
    const text = JSON.stringify(status);
    const put = await platform.put(key, text, known.version);
    const next = {...known, isWriting: false};
    if (put.isOk()) {
      this.written.set(status.zone, {...next, version: put.value});
      return;
    }
    const version = put.error.version ?? known.version;
    this.written.set(status.zone, {...next, version, text: ''});
  }
}
