import type {Instance} from '@figfall/decisions';
import {recordKeys} from '@figfall/operator';
import type {ZoneStatus} from '@figfall/operator';
import type {NodeContext} from '../node/node_context.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import type {AgentViews} from './agent_views.js';
import {ENTRY} from './entry_constants.js';

interface StatusInput {
  readonly instances: readonly Instance[];
  /** Highest configuration version that this entry knows. */
  readonly revision: number;
  /** Current time in milliseconds. */
  readonly now: number;
}

interface ReportedRevision {
  readonly revision: number;
  /** Time in milliseconds at which it was reported. */
  readonly reportedAt: number;
}

/** The last write of a zone's status. */
interface WrittenStatus {
  /** Part of the status whose changes cause a write, as JSON. */
  readonly content: string;
  /** Time in milliseconds. */
  readonly writtenAt: number;
  /** Version of the platform's object; 0 if unknown. */
  readonly version: number;
  readonly isWriting: boolean;
  /** Revision that all nodes have, and since when. */
  readonly uniform?: {readonly revision: number; readonly since: string};
}

const NEVER_WRITTEN: WrittenStatus = {
  content: '',
  writtenAt: 0,
  version: 0,
  isWriting: false,
};

/** Milliseconds after which a reported revision counts as unknown. */
const REPORTED_REVISION_TTL_MS = 15_000;

/** Writes the status of the availability zones that this entry writes for. */
export class StatusWriter {
  private readonly reportedRevisions = new Map<string, ReportedRevision>();
  private readonly lastWrites = new Map<string, WrittenStatus>();

  private lastCheckAt = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly views: AgentViews,
  ) {}

  /** Stores the revisions of nodes that an agent is linked to. */
  recordRevisions(
    nodes: readonly {readonly id: string; readonly revision: number}[],
  ): void {
    const reportedAt = Date.now();
    nodes.forEach(({id, revision}) =>
      this.reportedRevisions.set(id, {revision, reportedAt}),
    );
  }

  /**
   * Writes the status of each zone of this entry if it has changed or is
   * older than `ENTRY.STATUS_REFRESH_MS`.
   */
  tick(input: StatusInput): void {
    const {identity, hash} = this.context;
    if (input.now - this.lastCheckAt < ENTRY.STATUS_INTERVAL_MS) return;
    this.lastCheckAt = input.now;
    [...new Set(input.instances.map(({zone}) => zone))]
      .filter(
        zone => selectStatusWriter(zone, input.instances, hash) === identity.id,
      )
      .forEach(zone => this.writeIfDue(zone, input));
  }

  private writeIfDue(zone: string, input: StatusInput): void {
    const last = this.lastWrites.get(zone) ?? NEVER_WRITTEN;
    const nodes = this.nodeStatuses(zone, input);
    const content = JSON.stringify({nodes, revision: input.revision});
    const isOld = input.now - last.writtenAt >= ENTRY.STATUS_REFRESH_MS;
    if (last.isWriting || (content === last.content && !isOld)) return;
    const uniform = this.uniformRevision(nodes, input, last);
    const next = {
      ...last,
      content,
      uniform,
      writtenAt: input.now,
      isWriting: true,
    };
    this.lastWrites.set(zone, next);
    void this.write(next, {
      zone,
      at: new Date(input.now).toISOString(),
      writer: this.context.identity.id,
      revision: input.revision,
      inForceSince: uniform?.since,
      nodes,
    });
  }

  private nodeStatuses(
    zone: string,
    {instances, revision, now}: StatusInput,
  ): ZoneStatus['nodes'] {
    const {identity} = this.context;
    return instances
      .filter(instance => instance.zone === zone)
      .map(({id, role, backendServer}) => {
        if (id === identity.id) return {id, role, revision};
        if (role === 'agent') return {...this.agentStatus(id), backendServer};
        const reported = this.reportedRevisions.get(id);
        const isFresh =
          reported && now - reported.reportedAt < REPORTED_REVISION_TTL_MS;
        return {id, role, revision: isFresh ? reported.revision : undefined};
      });
  }

  private agentStatus(id: string): ZoneStatus['nodes'][number] {
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

  /** Returns the revision if all nodes have it, and the time since when. */
  private uniformRevision(
    nodes: ZoneStatus['nodes'],
    {revision, now}: StatusInput,
    last: WrittenStatus,
  ): WrittenStatus['uniform'] {
    const isUniform = nodes.every(node => (node.revision ?? 0) >= revision);
    if (!isUniform) return undefined;
    if (last.uniform?.revision === revision) return last.uniform;
    return {revision, since: new Date(now).toISOString()};
  }

  private async write(
    current: WrittenStatus,
    status: ZoneStatus,
  ): Promise<void> {
    const {platform} = this.context;
    const key = recordKeys.status(`zone/${status.zone}`);
    const text = JSON.stringify(status);
    const put = await platform.put(key, text, current.version);
    const next = {...current, isWriting: false};
    if (put.isOk()) {
      this.lastWrites.set(status.zone, {...next, version: put.value});
      return;
    }
    const version = put.error.version ?? current.version;
    this.lastWrites.set(status.zone, {...next, version, content: ''});
  }
}
