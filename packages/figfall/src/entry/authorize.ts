import {createHash, timingSafeEqual} from 'node:crypto';
import type {RequestMetadata} from '@figfall/caller';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

/**
 * Checks a caller's bearer token against the token hashes of its workspace.
 * Returns a failure if the caller may not use the workspace.
 */
export function authorize(
  view: ConfigView,
  {workspace: name, token}: RequestMetadata,
): Failure | undefined {
  const workspace = view.find('workspace', name);
  if (!workspace) {
    return createFailure(
      'unknown-workspace',
      `Workspace "${name}" does not exist.`,
    );
  }
  const tokenHash = createHash('sha256').update(token).digest();
  const isAuthorized = workspace.tokenHashes
    .map(hash => Buffer.from(hash, 'hex'))
    .some(hash => timingSafeEqual(hash, tokenHash));
  if (isAuthorized) return undefined;
  return createFailure(
    'unauthorized',
    `The bearer token is not valid for workspace "${name}".`,
  );
}
