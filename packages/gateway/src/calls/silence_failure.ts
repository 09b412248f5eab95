import {createFailure} from '@figfall/decisions';

/** Failure of an attempt whose backend server has been silent for too long. */
export const SILENCE_FAILURE = createFailure(
  'backend-lost',
  'Nothing was heard from the backend server for too long.',
);
