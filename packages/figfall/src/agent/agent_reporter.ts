import type {AgentPhase, AgentReport, Instance} from '@figfall/decisions';
import type {Link} from '@figfall/node-link';
import type {LinkTable} from '../node/link_table.js';
import type {NodeContext} from '../node/node_context.js';
import type {PeerRevisions} from '../node/peer_revisions.js';
import {selectStatusWriter} from '../node/select_status_writer.js';
import {AGENT} from './agent_constants.js';
import type {AgentScheduler} from './agent_scheduler.js';
import type {AgentSettings} from './agent_settings.js';

interface AgentReporterOptions {
  readonly context: NodeContext;
  readonly settings: AgentSettings;
  readonly links: LinkTable;
  readonly peerRevisions: PeerRevisions;
  readonly scheduler: () => AgentScheduler;
  readonly configRevision: () => number;
  readonly isReady: () => boolean;
}

const CONTROL_STREAM = 'control';

/**
 * Sends status reports to the linked entries. The rate falls with the number
 * of links; an unchanged report is repeated only at the idle interval.
 */
export class AgentReporter {
  private lastReport = '';
  private lastSentAt = 0;

  constructor(private readonly options: AgentReporterOptions) {}

  /** Returns the phase to report; `leaving` takes precedence over all others. */
  phase(): AgentPhase {
    const scheduler = this.options.scheduler();
    if (scheduler.serverStatus().leaving) return 'leaving';
    if (!this.options.isReady()) return 'starting';
    return scheduler.stats().isCold ? 'cold' : 'serving';
  }

  report(): AgentReport {
    const {context, settings, scheduler} = this.options;
    const {isCold: _isCold, prefillRate, ...stats} = scheduler().stats();
    const serverStatus = scheduler().serverStatus();
    return {
      agentId: context.identity.id,
      incarnation: context.identity.incarnation,
      backendServer: settings.backendServer,
      kind: scheduler().kind(),
      region: settings.region,
      zone: settings.zone,
      phase: this.phase(),
      serves: serverStatus.servedTargets,
      inService:
        serverStatus.declared &&
        serverStatus.zoneInService &&
        serverStatus.serverInService,
      ...stats,
      prefillRate: Math.round(prefillRate),
      configRevision: this.options.configRevision(),
    };
  }

  /** Sends the current report to one entry, regardless of the rate. */
  sendTo(link: Link): void {
    link.send(CONTROL_STREAM, {type: 'report', report: this.report()});
  }

  /** Updates the metrics and sends a report to all entries if one is due. */
  tick(now: number): void {
    const {context, links, scheduler} = this.options;
    const {metrics} = context;
    const {running, queued} = scheduler().stats();
    metrics.running.set(running);
    metrics.queued.set(queued);
    metrics.configRevision.set(this.options.configRevision());
    const linkCount = links.all().length;
    metrics.links.set(linkCount);
    const elapsedMs = now - this.lastSentAt;
    const linksMs = linkCount * AGENT.REPORT_INTERVAL_PER_LINK_MS;
    if (elapsedMs < Math.max(AGENT.MIN_REPORT_INTERVAL_MS, linksMs)) return;
    const report = this.report();
    const json = JSON.stringify(report);
    if (json === this.lastReport && elapsedMs < AGENT.IDLE_REPORT_MS) return;
    this.lastReport = json;
    this.lastSentAt = now;
    links.broadcast({type: 'report', report});
  }

  /** Sends the status writer the configuration revisions of linked nodes. */
  sendRevisions(instances: readonly Instance[]): void {
    const {settings, context, links, peerRevisions} = this.options;
    const writer = selectStatusWriter(settings.zone, instances, context.hash);
    const link = writer ? links.findByNode(writer) : undefined;
    link?.send(CONTROL_STREAM, {
      type: 'revisions',
      nodes: peerRevisions.list(),
    });
  }
}
