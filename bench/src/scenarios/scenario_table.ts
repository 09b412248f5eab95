import type {Scenario} from './scenario.js';
import {slowdown} from './slowdown.js';

/** All scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  slowdown,
};
