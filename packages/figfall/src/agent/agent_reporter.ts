import type {AgentPhase, AgentReport, Instance} from '@figfall/decisions';
import type {Link} from '@figfall/node-link';
import type {LinkTable} from '../node/link_table.js';
import type {NodeContext} from '../node/node_context.js';
import type {PeerRevisions} from '../node/peer_revisions.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import {AGENT} from './agent_constants.js';
import type {AgentDoor} from './agent_door.js';
import type {AgentSettings} from './agent_settings.js';

interface AgentReporterOptions {
  readonly context: NodeContext;
  readonly settings: AgentSettings;
  readonly links: LinkTable;
  readonly board: PeerRevisions;
  readonly door: () => AgentDoor;
  readonly revision: () => number;
  readonly isReady: () => boolean;
}

const CONTROL_STREAM = 'control';

/** Tells entries of the agent, at a bounded rate and only what changed. */
export class AgentReporter {
  private sentText = '';
  private sentAt = 0;

  constructor(private readonly options: AgentReporterOptions) {}

  phase(): AgentPhase {
    const door = this.options.door();
    if (door.condition().leaving) return 'leaving';
    if (!this.options.isReady()) return 'starting';
    return door.figures().isCold ? 'cold' : 'serving';
  }

  report(): AgentReport {
    const {context, settings, door} = this.options;
    const {isCold: _isCold, prefillRate, ...figures} = door().figures();
    const condition = door().condition();
    return {
      agentId: context.identity.id,
      incarnation: context.identity.incarnation,
      backendServer: settings.backendServer,
      kind: door().kind(),
      region: settings.region,
      zone: settings.zone,
      phase: this.phase(),
      serves: condition.servedTargets,
      inService:
        condition.declared &&
        condition.zoneInService &&
        condition.serverInService,
      ...figures,
      prefillRate: Math.round(prefillRate),
      configRevision: this.options.revision(),
    };
  }

  sendTo(link: Link): void {
    link.send(CONTROL_STREAM, {type: 'report', report: this.report()});
  }

  /** Sends a report to all entries, if one is due. */
  tick(now: number): void {
    const {context, links, door} = this.options;
    const {metrics} = context;
    const {running, queued} = door().figures();
    metrics.running.set(running);
    metrics.queued.set(queued);
    metrics.configRevision.set(this.options.revision());
    const linkCount = links.all().length;
    metrics.links.set(linkCount);
    const age = now - this.sentAt;
    const leastMs = linkCount * AGENT.REPORT_PER_LINK_MS;
    if (age < Math.max(AGENT.REPORT_MIN_MS, leastMs)) return;
    const report = this.report();
    const text = JSON.stringify(report);
    if (text === this.sentText && age < AGENT.REPORT_MS) return;
    this.sentText = text;
    this.sentAt = now;
    links.broadcast({type: 'report', report});
  }

  /** Tells the status writer which records the linked entries know. */
  sendRevisions(instances: readonly Instance[]): void {
    const {settings, context, links, board} = this.options;
    const writer = selectStatusWriter(settings.zone, instances, context.hash);
    const link = writer ? links.findByNode(writer) : undefined;
    link?.send(CONTROL_STREAM, {type: 'revisions', nodes: board.list()});
  }
}
