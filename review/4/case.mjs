/** A booking that crashes two replicas, which come back under their ids. */
import {CONFIG} from '../lib/config.mjs';
import {playPoison} from '../lib/poison_case.mjs';
import {runCase} from '../lib/run_case.mjs';

await runCase(import.meta.url, {gateways: 3, config: CONFIG}, ctx =>
  playPoison(ctx, {
    replicaCount: 2,
    keepsId: true,
    backMs: 3_000,
    playMs: 40_000,
    // The same booking comes at the gateways in turn.
    sendPoison: (i, send) => send(ctx.gateways[i % ctx.gateways.length]),
  }),
);
