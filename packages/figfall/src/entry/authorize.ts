import {createHash, timingSafeEqual} from 'node:crypto';
import type {RequestMetadata} from '@figfall/caller';
import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import type {ConfigView} from '@figfall/operator';

/** Returns why a caller may not use a workspace, if so. */
export function authorize(
  view: ConfigView,
  {workspace: name, token}: RequestMetadata,
): Failure | undefined {
  const workspace = view.find('workspace', name);
  if (!workspace) {
    return createFailure(
      'unknown-workspace',
      `There is no workspace "${name}".`,
    );
  }
  const given = createHash('sha256').update(token).digest();
  const isKnown = workspace.tokenHashes
    .map(hash => Buffer.from(hash, 'hex'))
    .some(hash => timingSafeEqual(hash, given));
  if (isKnown) return undefined;
  return createFailure(
    'unauthorized',
    `The bearer token does not belong to workspace "${name}".`,
  );
}
