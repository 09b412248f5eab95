import type {CallHandle} from './call_handle.js';

/** Handle of a request that was rejected. */
export const NO_CALL: CallHandle = {
  handleDisconnect: () => undefined,
  handleDrain: () => undefined,
};
