import type {PromptPlacement} from '@figfall/decisions';

/** Ids of all servers of a placement, the primary first. */
export function placementServers({
  serverId,
  helpers,
}: PromptPlacement): readonly string[] {
  return [serverId, ...helpers.map(helper => helper.serverId)];
}
