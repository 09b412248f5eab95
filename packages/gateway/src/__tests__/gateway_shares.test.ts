import {test} from 'node:test';
import {expect} from 'earl';
import {gatewayFixture} from './gateway_fixture.js';

/** Retries of failed requests that a gateway of `total` gateways makes. */
function retriesOf(total: number, linked: readonly string[]): number {
  const {core, attempts, serve} = gatewayFixture(['a', 'b'], {
    retry: {ratio: 0, slack: 100},
  });
  core.setGateways({linked, total});
  Array.from({length: 100}, (_, i) => {
    serve('/read/', {requestId: `r${i}`});
    attempts.at(-1)?.emit({type: 'failed', reason: 'reset'});
  });
  return attempts.length - 100;
}

test('a gateway that lost its links does not spend the retry budget of all', () => {
  expect(retriesOf(5, [])).toEqual(14);
  expect(retriesOf(5, ['b', 'c', 'd', 'e'])).toEqual(14);
  expect(retriesOf(1, [])).toEqual(70);
});
