import type {
  CallerOutcome,
  RequestExecution,
} from '@figfall/gateway-server/testing';
import type {SoakEvidence} from './soak_evidence.js';

type Check = (
  evidence: SoakEvidence,
  runsOf: ReadonlyMap<string, readonly RequestExecution[]>,
) => readonly string[];

/** Statuses that say that a request has not run and never will. */
const PROMISES: readonly (number | undefined)[] = [408, 421, 429, 503];

/** Milliseconds after which a server that leaves gets no more requests. */
const DRAIN_MS = 2_000;

/** Milliseconds without disturbance before a bound holds. */
const CALM_MS = 3_000;

/** Milliseconds within which a process that is to stop has ended. */
const STOP_MS = 8_000;

function isSuccess({status = 0}: CallerOutcome): boolean {
  return status >= 200 && status < 300;
}

const twice: Check = ({outcomes}, runsOf) =>
  outcomes
    .filter(({kind}) => kind === 'book')
    .filter(({requestId}) => (runsOf.get(requestId) ?? []).length > 1)
    .map(({requestId}) => `TWICE ${requestId}: a booking ran more than once`);

const refused: Check = ({outcomes}, runsOf) =>
  outcomes
    .filter(({kind, status}) => kind === 'book' && PROMISES.includes(status))
    .filter(({requestId}) => runsOf.has(requestId))
    .map(
      ({requestId, status}) =>
        `REFUSED ${requestId}: a booking was answered ${status} and ran`,
    );

/** An answer that ended early may be any beginning of the server's. */
function isFaithful(outcome: CallerOutcome, run: RequestExecution): boolean {
  const isWhole = run.responseBody === outcome.responseBody;
  return outcome.isComplete
    ? isWhole
    : run.responseBody.startsWith(outcome.responseBody);
}

const mixed: Check = ({outcomes}, runsOf) =>
  outcomes.filter(isSuccess).flatMap(outcome => {
    const {requestId, signature, echoedRequestId} = outcome;
    if (echoedRequestId !== requestId) {
      return [`MIXED ${requestId}: the answer belongs to ${echoedRequestId}`];
    }
    const runs = runsOf.get(requestId) ?? [];
    const run = runs.find(other => other.signature === signature);
    if (!run) return [`MIXED ${requestId}: no run has signature ${signature}`];
    if (isFaithful(outcome, run)) return [];
    return [`MIXED ${requestId}: the body is not the server's`];
  });

const unasked: Check = ({outcomes, runs}) => {
  const sent = new Map(outcomes.map(outcome => [outcome.requestId, outcome]));
  return runs.flatMap(run => {
    const outcome = sent.get(run.requestId);
    if (!outcome) return [`UNASKED ${run.requestId}: no caller sent it`];
    if (run.hasKey) return [`UNASKED ${run.requestId}: the key was passed on`];
    const isSame =
      run.method === outcome.method &&
      run.target === outcome.target &&
      run.body === outcome.body &&
      run.workspace === outcome.workspace;
    return isSame ? [] : [`UNASKED ${run.requestId}: the request was changed`];
  });
};

const drained: Check = ({leaves, runs, disturbed}) =>
  leaves.flatMap(({serverId, at}) =>
    runs
      .filter(run => run.serverId === serverId && run.at > at + DRAIN_MS)
      .filter(
        run =>
          !disturbed.some(({from, to}) => from < run.at && to > at - CALM_MS),
      )
      .map(run => `DRAIN ${run.requestId}: ran at ${serverId}, which had left`),
  );

const stopped: Check = ({stops}) =>
  stops
    .filter(({tookMs, code}) => tookMs > STOP_MS || code !== 0)
    .map(
      ({gateway, tookMs, code}) =>
        `STOP ${gateway}: ended with ${code} after ${Math.round(tookMs)} ms`,
    );

const crashed: Check = ({crashes}) =>
  crashes.map(crash => `CRASH a process ended by itself: ${crash}`);

const recovered: Check = ({finals}) =>
  finals
    .filter(({expected, status}) => status !== expected)
    .map(
      ({gateway, what, expected, status}) =>
        `RECOVER ${gateway}: ${what} got ${status}, not ${expected}`,
    );

const leaked: Check = ({heldReservations}) =>
  heldReservations.map(id => `LEAK reservation ${id} is still held`);

const CHECKS: readonly Check[] = [
  twice,
  refused,
  mixed,
  unasked,
  drained,
  stopped,
  crashed,
  recovered,
  leaked,
];

/** Lists the promises that a run broke. */
export function checkPromises(evidence: SoakEvidence): readonly string[] {
  const runsOf = new Map<string, readonly RequestExecution[]>();
  evidence.runs.forEach(run =>
    runsOf.set(run.requestId, [...(runsOf.get(run.requestId) ?? []), run]),
  );
  return CHECKS.flatMap(check => check(evidence, runsOf));
}
