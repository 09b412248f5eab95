import {test} from 'node:test';
import {createFailure} from '@figfall/decisions';
import {expect} from 'earl';
import fc from 'fast-check';
import type {BackendEvent} from '../ports/backend_event.js';
import {gatewayFixture} from './gateway_fixture.js';

type Fixture = ReturnType<typeof gatewayFixture>;

/** Statuses that promise this; not the product's own table. */
const PROMISES: readonly number[] = [408, 421, 429, 503];

const RUNS = 500;
const SEED = 57;
const DEADLINE_MS = 8_000;

const sent: BackendEvent = {type: 'sent'};

const refused: BackendEvent = {
  type: 'refused',
  failure: createFailure('queue-full', 'full'),
  unreachable: false,
};

const failed: BackendEvent = {type: 'failed', reason: 'reset'};

const answers = [200, 400, 408, 429, 500, 503, 504].map(
  (status): BackendEvent => ({
    type: 'response',
    head: {status, headers: []},
    body: Buffer.from('x'),
  }),
);

const LAST_EVENTS = [refused, failed, ...answers];

/** What a step does: a server goes on, or time passes. */
const step = fc.oneof(
  fc.record({
    attempt: fc.nat({max: 3}),
    event: fc.constantFrom(sent, ...LAST_EVENTS),
  }),
  fc.record({passMs: fc.integer({min: 50, max: 4_000})}),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Applies steps in turn; returns the attempts that may have run. */
function play(
  {attempts, clock, core}: Fixture,
  steps: readonly Step[],
): readonly number[] {
  const written = new Set<number>();
  const ended = new Set<number>();
  const mayHaveRun = new Set<number>();
  const emit = (i: number, event: BackendEvent): void => {
    const attempt = attempts[i];
    if (!attempt || attempt.cancelled || ended.has(i)) return;
    if (event !== sent && !written.has(i)) emit(i, sent);
    if (event === sent && written.has(i)) return;
    if (event === sent) [written, mayHaveRun].forEach(set => set.add(i));
    else ended.add(i);
    if (event === refused) mayHaveRun.delete(i);
    attempt.emit(event);
  };
  const pass = (ms: number): void => {
    clock.now += ms;
    core.tick();
  };
  steps.forEach(next =>
    'passMs' in next ? pass(next.passMs) : emit(next.attempt, next.event),
  );
  pass(DEADLINE_MS);
  return [...mayHaveRun];
}

// Guards against a request that has run and is reported as not run (REFUSED).
['book', 'read', 'stream'].forEach(route => {
  test(`no answer to a ${route} promises that it has not run once a server may have run it`, () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 14}), steps => {
        const fixture = gatewayFixture(['a', 'b', 'c', 'd'], {maxAttempts: 4});
        const {received} = fixture.serve(`/${route}/x`);
        if (play(fixture, steps).length === 0) return;
        expect(received.failure?.ran).not.toEqual('no');
        const {status = 0} = received;
        expect(PROMISES.includes(status)).toEqual(false);
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});

// Guards against a hedge that ran and is forgotten once its attempt is refused.
test('a read whose hedge may have run is not reported as not run', () => {
  const {attempts, serve, core, clock} = gatewayFixture(['a', 'b', 'c', 'd'], {
    maxAttempts: 4,
  });
  const {received} = serve('/read/x');
  attempts[0]?.emit(sent);
  clock.now += 5_000;
  core.tick();
  attempts[1]?.emit(sent);
  attempts[1]?.emit(failed);
  attempts[0]?.emit(refused);
  attempts.slice(2).forEach(attempt => attempt.emit(refused));
  clock.now += DEADLINE_MS;
  core.tick();
  expect(received.failure?.ran).toEqual('unknown');
});
