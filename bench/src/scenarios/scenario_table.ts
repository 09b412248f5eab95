import {atMostOnce} from './at_most_once.js';
import {coldStart} from './cold_start.js';
import {config} from './config.js';
import {crashEvidenceCost} from './crash_evidence_cost.js';
import {crashingRequest} from './crashing_request.js';
import {gatewayCost} from './gateway_cost.js';
import {ledger} from './ledger.js';
import {overhead} from './overhead.js';
import {overload} from './overload.js';
import {oversized} from './oversized.js';
import {placement} from './placement.js';
import type {Scenario} from './scenario.js';
import {silentLink} from './silent_link.js';
import {slopes} from './slopes.js';
import {slowdown} from './slowdown.js';
import {zone} from './zone.js';

/** All scenarios by name, in the order of `--list`. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  slowdown,
  zone,
  'cold-start': coldStart,
  overload,
  oversized,
  placement,
  'silent-link': silentLink,
  'crashing-request': crashingRequest,
  'at-most-once': atMostOnce,
  config,
  ledger,
  overhead,
  'gateway-cost': gatewayCost,
  'crash-evidence-cost': crashEvidenceCost,
  slopes,
};
