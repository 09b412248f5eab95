import type {EngineProfile} from './engine_profile.js';

/** Share of the slots; the others take up bursts and unannounced requests. */
const SHARED_SLOTS_SHARE = 0.55;

/** Streams with short prompts that are planned for one server. */
export function sharedStreams({slots}: EngineProfile): number {
  return Math.max(1, Math.round(slots * SHARED_SLOTS_SHARE));
}
