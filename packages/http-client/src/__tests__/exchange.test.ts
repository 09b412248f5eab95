import {test} from 'node:test';
import {expect} from 'earl';
import {exchange} from '../exchange.js';

test('a request whose connection times out has certainly not been sent', async () => {
  const answer = await exchange({
    method: 'GET',
    baseUrl: 'http://unreachable.test',
    path: '/',
    timeoutMs: 60_000,
    lookup: () => undefined,
  });
  expect(answer._unsafeUnwrapErr().type).toEqual('not-sent');
});
