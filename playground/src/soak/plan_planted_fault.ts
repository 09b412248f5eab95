import type {PlantedFault} from './planted_fault.js';
import type {SoakAction} from './soak_action.js';

interface PlanOptions {
  readonly servers: number;
  readonly durationMs: number;
}

/** Requests a second that servers claim to take. */
const UNSAID_LIMIT = 0.5;

/** The actions that go with a planted fault. */
export function planPlantedFault(
  fault: PlantedFault,
  {servers, durationMs}: PlanOptions,
): readonly SoakAction[] {
  if (fault === 'unasked-end') {
    return [{type: fault, startMs: 0, targetIndex: 0, durationMs}];
  }
  if (fault !== 'unsaid-limit') return [];
  return Array.from({length: servers}, (_, targetIndex) => ({
    type: 'server-limit',
    startMs: 0,
    targetIndex,
    durationMs,
    perSecond: UNSAID_LIMIT,
  }));
}
