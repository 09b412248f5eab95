import type {PermitGrant} from './permit_grant.js';
import type {PermitRequest} from './permit_request.js';

/** A message about permits between two gateways. */
export type PermitMessage =
  | {
      readonly type: 'permit-requests';
      readonly requests: readonly PermitRequest[];
    }
  | {readonly type: 'permits'; readonly grants: readonly PermitGrant[]};
