import {createFailure, engineTime} from '@figfall/decisions';
import type {BackendServer} from '@figfall/decisions';
import {Fleet} from '@figfall/gateway';
import {err, ok} from 'neverthrow';

type Place = Fleet['place'];
type FleetOptions = ConstructorParameters<typeof Fleet>[0];

/**
 * A fleet that sends each prompt at once to the servers with the least
 * prefill ahead: to one, or in parts of at most a number of tokens.
 */
export class BaselineFleet extends Fleet {
  private listed: readonly BackendServer[] = [];

  constructor(
    options: FleetOptions,
    private readonly partTokens: number,
  ) {
    super(options);
  }

  override setServers(servers: readonly BackendServer[]): void {
    super.setServers(servers);
    this.listed = servers;
  }

  override place: Place = ({req, service}, exclude) => {
    const {prompt} = req;
    const {engine} = service;
    const ranked = this.listed
      .filter(({id}) => !exclude.includes(id))
      .map(({id}) => ({id, load: this.loadOf(id)}))
      .toSorted((a, b) => a.load.backlogMs - b.load.backlogMs);
    const [first, ...others] = ranked;
    if (!first || !prompt || !engine) {
      return err(createFailure('no-backend-server', 'There is no server.'));
    }
    const count = Math.ceil(prompt.promptTokens / this.partTokens);
    const helpers = others.slice(0, Math.min(count, ranked.length) - 1);
    const totalMs = engineTime.prefillMs(engine, prompt.promptTokens);
    const prefillMs = totalMs / (helpers.length + 1);
    return ok({
      serverId: first.id,
      helpers: helpers.map(({id}) => ({serverId: id, reserveTokens: 0})),
      prefillMs,
      firstEventMs: first.load.backlogMs + prefillMs,
      candidates: ranked.length,
    });
  };
}
