import type {ServerResponse} from 'node:http';
import {whenCallerLeaves} from '@figfall/http-client';
import type {ReadFirstQueue} from '@figfall/task';

/**
 * Resolves once what callers have sent by now has been read, to true if the
 * caller of a request has left by then.
 */
export function hasCallerLeft(
  res: ServerResponse,
  readFirst: ReadFirstQueue,
): Promise<boolean> {
  return new Promise(resolve => {
    const leaveQueue = readFirst.add(() => resolve(false));
    whenCallerLeaves(res, () => {
      leaveQueue();
      resolve(true);
    });
  });
}
