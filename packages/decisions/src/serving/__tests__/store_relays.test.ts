import {test} from 'node:test';
import {expect} from 'earl';
import {storeRelays} from '../store_relays.js';

const {recordReport, state, empty} = storeRelays;

test('the first gateways watch the store themselves whatever others report', () => {
  const relays = recordReport(empty(), 'a', true, 0);
  expect([0, 3].map(rank => state(relays, rank, 10))).toEqual(['none', 'none']);
  expect(state(relays, 4, 10)).toEqual('reachable');
});

test('a gateway watches the store itself once no relay reports any more', () => {
  const relays = recordReport(empty(), 'a', true, 0);
  expect(state(relays, 9, 2_499)).toEqual('reachable');
  expect(state(relays, 9, 2_500)).toEqual('none');
  expect(state(empty(), 9, 0)).toEqual('none');
});

test('one relay that reaches the store is enough', () => {
  const cutOff = recordReport(empty(), 'a', false, 0);
  expect(state(cutOff, 9, 10)).toEqual('unreachable');
  expect(state(recordReport(cutOff, 'b', true, 5), 9, 10)).toEqual('reachable');
});
