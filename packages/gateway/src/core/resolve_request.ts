import type {Failure, RandomSource, ServingConfig} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {buildCallSpec} from '../calls/build_call_spec.js';
import type {CallSpec} from '../calls/call_spec.js';
import type {CallerRequest} from '../ports/caller_request.js';
import type {ShutdownState} from './shutdown_state.js';
import type {StartupRefusals} from './startup_refusals.js';

interface ResolveOptions {
  readonly config: ServingConfig | undefined;
  readonly hasServers: boolean;
  readonly shutdown: ShutdownState;
  readonly startupRefusals: StartupRefusals;
  readonly random: RandomSource;
}

/** Resolves a request, or says why it is rejected before it becomes a call. */
export function resolveRequest(
  req: CallerRequest,
  {config, hasServers, shutdown, startupRefusals, random}: ResolveOptions,
): Result<CallSpec, Failure> {
  const refusal = shutdown.requestRefusal();
  if (refusal) return err(refusal);
  const limited = shutdown.limitTimeout(req);
  return buildCallSpec(config, limited, random)
    .mapErr(failure =>
      config ? failure : startupRefusals.withReturnTime(failure, req),
    )
    .andThen(spec =>
      hasServers
        ? ok(spec)
        : err(startupRefusals.serversUnknown(spec.service.name, req)),
    );
}
