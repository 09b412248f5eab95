import type {Instance} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import type {ZoneStatus} from '@figfall/operator';
import type {NodeContext} from '../node/node_context.js';
import {statusWriterOf} from '../node/status_writer_of.js';
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

/** Milliseconds after which the revision of a node counts as unknown. */
const HEARD_MS = 10_000;

/** Writes the status of an availability zone while this entry is its writer. */
export class StatusWriter {
  private readonly heard = new Map<string, HeardRevision>();
  private writtenText = '';
  private writtenAt = 0;
  private version = 0;
  private isWriting = false;
  private inForce?: {readonly revision: number; readonly since: string};

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

  /** Writes the status if it has changed, at a bounded rate. */
  tick(input: StatusInput): void {
    const {zone} = this.context.settings;
    const {identity, hash} = this.context;
    const writer = statusWriterOf(zone, input.instances, hash);
    const age = input.now - this.writtenAt;
    if (writer !== identity.id || this.isWriting) return;
    if (age < ENTRY.STATUS_MS) return;
    const nodes = this.nodes(input);
    const text = JSON.stringify({nodes, revision: input.revision});
    const isOld = age >= ENTRY.STATUS_REFRESH_MS;
    if (text === this.writtenText && !isOld) return;
    this.writtenText = text;
    this.writtenAt = input.now;
    void this.write({
      zone,
      at: new Date(input.now).toISOString(),
      writer: identity.id,
      revision: input.revision,
      inForceSince: this.since(nodes, input),
      nodes,
    });
  }

  private nodes({instances, revision, now}: StatusInput): ZoneStatus['nodes'] {
    const {settings, identity} = this.context;
    return instances
      .filter(({zone}) => zone === settings.zone)
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

  private since(
    nodes: ZoneStatus['nodes'],
    {revision, now}: StatusInput,
  ): string | undefined {
    const isEverywhere = nodes.every(node => (node.revision ?? 0) >= revision);
    if (!isEverywhere) return undefined;
    if (this.inForce?.revision !== revision) {
      this.inForce = {revision, since: new Date(now).toISOString()};
    }
    return this.inForce.since;
  }

  private async write(status: ZoneStatus): Promise<void> {
    const {platform} = this.context;
    const key = recordKeys.status(`zone/${status.zone}`);
    const text = JSON.stringify(status);
    this.isWriting = true;
    const put = await platform.put(key, text, this.version);
    if (put.isOk()) this.version = put.value;
    else if (put.error.type === 'conflict') {
      this.version = put.error.version ?? 0;
      this.writtenText = '';
    } else this.writtenText = '';
    this.isWriting = false;
  }
}
