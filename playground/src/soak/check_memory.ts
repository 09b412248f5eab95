import type {SoakObservations} from './soak_observations.js';

/** Checks that no gateway exceeds the memory above which it would be killed. */
export function checkMemory({
  memory,
}: Pick<SoakObservations, 'memory'>): readonly string[] {
  return memory
    .filter(({peakMb, limitMb}) => peakMb > limitMb)
    .map(
      ({gateway, peakMb, limitMb}) =>
        `memory-over-limit ${gateway}: ${Math.round(peakMb)} MB at its peak, the machine has ${limitMb}`,
    );
}
