import {test} from 'node:test';
import {expect} from 'earl';
import {exchange} from '../exchange.js';

test('a connection that never comes about ends the request as not sent', async () => {
  const answer = await exchange({
    method: 'GET',
    baseUrl: 'http://unreachable.test',
    path: '/',
    timeoutMs: 60_000,
    lookup: () => undefined,
  });
  expect(answer._unsafeUnwrapErr().type).toEqual('not-sent');
});
