import {test} from 'node:test';
import {expect} from 'earl';
import {trialClaims} from '../trial_claims.js';

/** Claims of gateways to one key, in the order in which they arrive. */
function claimsOf(...claims: readonly (readonly [string, number])[]) {
  return claims.reduce(
    (known, [gatewayId, at]) =>
      trialClaims.add(known, {key: 'k', gatewayId}, at),
    trialClaims.empty(),
  );
}

function winnerAt(claims: ReturnType<typeof claimsOf>, now: number) {
  const claim = trialClaims.find(claims, 'k', now);
  return ['a', 'b', 'c'].filter(
    id => claim !== undefined && trialClaims.isWon(claim, id, now),
  );
}

test('of claims made side by side one is won, whatever their order', () => {
  expect(winnerAt(claimsOf(['c', 0], ['a', 5], ['b', 9]), 60)).toEqual(['a']);
  expect(winnerAt(claimsOf(['a', 0], ['b', 9], ['c', 5]), 60)).toEqual(['a']);
});

test('no claim is won before others can have arrived', () => {
  expect(winnerAt(claimsOf(['a', 0]), 40)).toEqual([]);
});

test('a claim that no trial follows makes room for another one', () => {
  const claims = claimsOf(['a', 0], ['b', 600]);
  expect(winnerAt(claims, 660)).toEqual(['b']);
});
