import {createRandom} from '../random/create_random.js';
import type {SimulatedRequest} from './simulated_request.js';

/** One class of prompts with its arrival rate and length distribution. */
interface PromptKind extends Pick<
  SimulatedRequest,
  | 'kind'
  | 'targetMs'
  | 'pauseMs'
  | 'timeoutMs'
  | 'priority'
  | 'worth'
  | 'lateWorth'
> {
  readonly requestsPerSecond: number;
  /** Mean length of a prompt before the cap. */
  readonly promptTokens: number;
  /** Sigma of the log-normal distribution of the prompt's length. */
  readonly lengthSigma: number;
  readonly promptTokensMax: number;
  readonly outputTokens: number;
}

interface LoadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly kinds: readonly PromptKind[];
  /**
   * Phases of equal length. Each lists a factor on the rate of every kind, in
   * the order of `kinds`.
   */
  readonly phases: readonly (readonly number[])[];
}

const MS_PER_SECOND = 1_000;

/** Share of a response's worth that does not depend on its prompt's length. */
const BASE_WORTH_SHARE = 0.3;

/** Upper limit of a response's worth, as a multiple of its kind's worth. */
const WORTH_FACTOR_MAX = 4;

function worthFactor(tokens: number, meanTokens: number): number {
  const factor =
    BASE_WORTH_SHARE + (1 - BASE_WORTH_SHARE) * (tokens / meanTokens);
  return Math.min(WORTH_FACTOR_MAX, factor);
}

/**
 * Generates the requests of one run, sorted by arrival, with Poisson arrivals
 * and log-normal prompt lengths. The same seed gives the same load.
 */
export function generateLoad(
  options: LoadOptions,
): readonly SimulatedRequest[] {
  const {seed, durationMs, kinds, phases} = options;
  const random = createRandom(seed);
  const exponential = () => -Math.log(1 - random());
  const normal = () =>
    Math.sqrt(2 * exponential()) * Math.cos(2 * Math.PI * random());
  const phaseMs = durationMs / phases.length;
  const generateKind = (
    kind: PromptKind,
    index: number,
  ): SimulatedRequest[] => {
    const requests: SimulatedRequest[] = [];
    let arrivalMs = 0;
    for (;;) {
      const factor = phases[Math.floor(arrivalMs / phaseMs)]?.[index] ?? 1;
      arrivalMs +=
        (exponential() * MS_PER_SECOND) / (kind.requestsPerSecond * factor);
      if (arrivalMs >= durationMs) return requests;
      const {lengthSigma, promptTokensMax, promptTokens, ...rest} = kind;
      const lengthFactor = Math.exp(
        normal() * lengthSigma - (lengthSigma * lengthSigma) / 2,
      );
      const tokens = Math.min(promptTokensMax, promptTokens * lengthFactor);
      const scale = worthFactor(tokens, promptTokens);
      requests.push({
        ...rest,
        id: `${kind.kind}-${requests.length}`,
        arrivalMs,
        promptTokens: Math.ceil(tokens),
        worth: kind.worth * scale,
        lateWorth: kind.lateWorth * scale,
      });
    }
  };
  return kinds
    .flatMap(generateKind)
    .toSorted((a, b) => a.arrivalMs - b.arrivalMs);
}
