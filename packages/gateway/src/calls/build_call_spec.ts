import {
  chooseService,
  createFailure,
  findPriorityLevel,
  findRouteLevel,
  matchRoute,
} from '@figfall/decisions';
import type {Failure, RandomSource, ServingConfig} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {CallerRequest} from '../ports/caller_request.js';
import type {CallSpec} from './call_spec.js';

function fail(
  kind: Failure['kind'],
  message: string,
): Result<CallSpec, Failure> {
  return err(createFailure(kind, message));
}

/**
 * Resolves a request's route, service, workspace and deadline. Fails if there
 * is no configuration, no route or no service, or if the API key is unknown.
 */
export function buildCallSpec(
  config: ServingConfig | undefined,
  req: CallerRequest,
  random: RandomSource,
): Result<CallSpec, Failure> {
  if (!config)
    return fail(
      'not-ready',
      'The gateway has not loaded its configuration yet.',
    );
  const path = req.target.split('?')[0] ?? '';
  const route = matchRoute(config, req.host, path);
  if (!route) return fail('not-found', `No route for ${req.host}${path}.`);
  const keys = route.isPublic ? undefined : config.workspaceByKey;
  const workspace = keys?.get(req.apiKey ?? '');
  if (keys && workspace === undefined) {
    return fail('unauthorized', 'The API key is unknown.');
  }
  const name = chooseService(route, random());
  const service = name === undefined ? undefined : config.services.get(name);
  if (!service) {
    return fail('no-backend-server', `Route ${route.name} has no service.`);
  }
  const isStream = route.kind === 'streaming';
  const timeoutMs = Math.min(req.timeoutMs, route.timeoutMs);
  return ok({
    req,
    route,
    service,
    workspace,
    priority: findPriorityLevel(config, route, service.name, workspace),
    routeLevel: findRouteLevel(config, route, service.name),
    idempotent: isStream ? route.resumable : route.kind === 'idempotent',
    deadlineAt: req.arrivedAt + timeoutMs,
  });
}
