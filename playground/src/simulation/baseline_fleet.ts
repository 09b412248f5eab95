import {createFailure, engineTime} from '@figfall/decisions';
import type {BackendServer} from '@figfall/decisions';
import {Fleet} from '@figfall/gateway';
import {err, ok} from 'neverthrow';

type PlaceMethod = Fleet['place'];
type FleetOptions = ConstructorParameters<typeof Fleet>[0];

/**
 * A baseline for comparisons: dispatches each prompt without queueing it, to
 * the server with the smallest prefill backlog, or split over several servers
 * in parts of at most `maxPartTokens` (larger if there are too few servers).
 */
export class BaselineFleet extends Fleet {
  private listedServers: readonly BackendServer[] = [];

  constructor(
    options: FleetOptions,
    private readonly maxPartTokens: number,
  ) {
    super(options);
  }

  override setServers(servers: readonly BackendServer[]): void {
    super.setServers(servers);
    this.listedServers = servers;
  }

  override place: PlaceMethod = ({req, service}, {exclude}) => {
    const {prompt} = req;
    const {engine} = service;
    const ranked = this.listedServers
      .filter(({id}) => !exclude.includes(id))
      .map(({id}) => ({id, load: this.work.loadOf(id)}))
      .toSorted((a, b) => a.load.backlogMs - b.load.backlogMs);
    const [first, ...others] = ranked;
    if (!first || !prompt || !engine) {
      return err(
        createFailure('no-backend-server', 'No backend server is available.'),
      );
    }
    const partCount = Math.ceil(prompt.promptTokens / this.maxPartTokens);
    const helpers = others.slice(0, Math.min(partCount, ranked.length) - 1);
    const totalMs = engineTime.prefillMs(engine, prompt.promptTokens);
    const prefillMs = totalMs / (helpers.length + 1);
    return ok({
      serverId: first.id,
      helpers: helpers.map(({id}) => ({serverId: id, reservedTokens: 0})),
      prefillMs,
      firstEventMs: first.load.backlogMs + prefillMs,
      candidates: ranked.length,
      heldBack: '',
    });
  };
}
