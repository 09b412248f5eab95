import type {AgentView} from './agent_view.js';
import type {RouteQuery} from './route_query.js';

/** Returns the linked agents in service that can take a request. */
export function eligibleAgents(
  views: readonly AgentView[],
  query: RouteQuery,
): AgentView[] {
  return views.filter(
    ({report, linked}) =>
      linked &&
      report.inService &&
      (report.phase === 'cold' || report.phase === 'serving') &&
      report.kind === query.kind &&
      report.serves.includes(query.target) &&
      !query.exclude.includes(report.agentId),
  );
}
