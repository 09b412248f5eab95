import {createRandom} from '../random/create_random.js';
import type {SimulatedRequest} from './simulated_request.js';

/** One kind of prompt, as the users' sheets describe it. */
interface PromptKind extends Pick<
  SimulatedRequest,
  'kind' | 'targetMs' | 'pauseMs' | 'timeoutMs' | 'worth' | 'lateWorth'
> {
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  /** Spread of the prompt's length: sigma of a log-normal distribution. */
  readonly lengthSigma: number;
  readonly promptTokensMax: number;
  readonly outputTokens: number;
}

interface LoadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly kinds: readonly PromptKind[];
  /** Factors on the kinds' rates, one after the other over the duration. */
  readonly phases: readonly (readonly number[])[];
}

const MS_PER_SECOND = 1_000;

/** Share of an answer's worth that does not depend on its prompt's length. */
const BASE_WORTH_SHARE = 0.3;

/** Most times its kind's worth that an answer is worth. */
const WORTH_FACTOR_MAX = 4;

function worthFactor(tokens: number, meanTokens: number): number {
  const factor =
    BASE_WORTH_SHARE + (1 - BASE_WORTH_SHARE) * (tokens / meanTokens);
  return Math.min(WORTH_FACTOR_MAX, factor);
}

/** Draws the prompts of one run: Poisson arrivals, log-normal lengths. */
export function generateLoad(
  options: LoadOptions,
): readonly SimulatedRequest[] {
  const {seed, durationMs, kinds, phases} = options;
  const random = createRandom(seed);
  const exponential = () => -Math.log(1 - random());
  const normal = () =>
    Math.sqrt(2 * exponential()) * Math.cos(2 * Math.PI * random());
  const phaseMs = durationMs / phases.length;
  const draw = (kind: PromptKind, index: number): SimulatedRequest[] => {
    const drawn: SimulatedRequest[] = [];
    let at = 0;
    for (;;) {
      const factor = phases[Math.floor(at / phaseMs)]?.[index] ?? 1;
      at += (exponential() * MS_PER_SECOND) / (kind.requestsPerSecond * factor);
      if (at >= durationMs) return drawn;
      const {lengthSigma, promptTokensMax, promptTokens, ...rest} = kind;
      const length = Math.exp(
        normal() * lengthSigma - (lengthSigma * lengthSigma) / 2,
      );
      const tokens = Math.min(promptTokensMax, promptTokens * length);
      const scale = worthFactor(tokens, promptTokens);
      drawn.push({
        ...rest,
        id: `${kind.kind}-${drawn.length}`,
        arrivalMs: at,
        promptTokens: Math.ceil(tokens),
        worth: kind.worth * scale,
        lateWorth: kind.lateWorth * scale,
      });
    }
  };
  return kinds.flatMap(draw).toSorted((a, b) => a.arrivalMs - b.arrivalMs);
}
