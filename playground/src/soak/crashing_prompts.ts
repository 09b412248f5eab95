import type {SoakObservations} from './soak_observations.js';

type Crash = SoakObservations['promptCrashes'][number];

/** Parts of prompts that crash the model engines of a soak run. */
export class CrashingPrompts {
  readonly crashes: Crash[] = [];
  /** The crashing part of each request that has one. */
  readonly partByRequestId = new Map<string, string>();
  private readonly parts = new Set<string>();

  constructor(private readonly now: () => number) {}

  /** Makes a part crash each engine, for the rest of the run. */
  add(part: string): void {
    this.parts.add(part);
  }

  /** True if a prompt with these parts crashes an engine; records it. */
  crashesOn(promptParts: string): boolean {
    const ids = promptParts.split(',').map(entry => entry.split(':')[0] ?? '');
    const part = ids.find(id => this.parts.has(id));
    if (part === undefined) return false;
    this.crashes.push({part, at: this.now()});
    return true;
  }
}
