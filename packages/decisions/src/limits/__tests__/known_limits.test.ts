import {test} from 'node:test';
import {expect} from 'earl';
import {knownLimits} from '../known_limits.js';
import type {RateLimitNotice} from '../rate_limit_notice.js';

const SERVER = {id: 's', processStartedAt: 10};

type Limits = Parameters<typeof knownLimits.find>[0];

/** Records responses in order of arrival, and returns the rate after each. */
function ratesAfter(
  responses: readonly {
    readonly rate?: number;
    readonly askedAt: number;
    readonly heardAt: number;
    readonly server?: typeof SERVER;
  }[],
): readonly (number | undefined)[] {
  let limits: Limits = new Map();
  return responses.map(({rate, askedAt, heardAt, server = SERVER}) => {
    const rateLimit: RateLimitNotice =
      rate === undefined ? {type: 'none'} : {type: 'named', perSecond: rate};
    const response = {rateLimit, askedAt, heardAt};
    limits = knownLimits.record(limits, server, response);
    return knownLimits.find(limits, SERVER)?.perSecond;
  });
}

test('a limit holds, falls, rises and ends as responses name it', () => {
  expect(
    ratesAfter([
      {askedAt: 0, heardAt: 1},
      {rate: 10, askedAt: 2, heardAt: 3},
      {rate: 1, askedAt: 4, heardAt: 5},
      {rate: 20, askedAt: 6, heardAt: 7},
      {askedAt: 8, heardAt: 9},
    ]),
  ).toEqual([undefined, 10, 1, 20, undefined]);
});

test('a response that was overtaken does not lift or raise a limit', () => {
  expect(
    ratesAfter([
      {rate: 1, askedAt: 10, heardAt: 20},
      {askedAt: 5, heardAt: 30},
      {askedAt: 15, heardAt: 31},
      {rate: 5, askedAt: 19, heardAt: 32},
      {askedAt: 20, heardAt: 33},
    ]),
  ).toEqual([1, 1, 1, 1, undefined]);
});

test('a response of before the end does not restore a limit', () => {
  expect(
    ratesAfter([
      {rate: 1, askedAt: 10, heardAt: 20},
      {askedAt: 30, heardAt: 40},
      {rate: 1, askedAt: 29, heardAt: 41},
      {rate: 1, askedAt: 42, heardAt: 43},
    ]),
  ).toEqual([1, undefined, undefined, 1]);
});

test('a response of before a rise does not lower the limit again', () => {
  expect(
    ratesAfter([
      {rate: 1, askedAt: 10, heardAt: 20},
      {rate: 9, askedAt: 30, heardAt: 40},
      {rate: 1, askedAt: 25, heardAt: 41},
    ]),
  ).toEqual([1, 9, 9]);
});

test('a new process has no limit, and responses of the old one do not name it', () => {
  const old = {id: 's', processStartedAt: 5};
  expect(
    ratesAfter([
      {rate: 1, askedAt: 10, heardAt: 20, server: old},
      {rate: 2, askedAt: 30, heardAt: 40},
      {rate: 1, askedAt: 29, heardAt: 41, server: old},
    ]),
  ).toEqual([undefined, 2, 2]);
});

test('a response that can not be read changes nothing', () => {
  const named = {type: 'named', perSecond: 1} as const;
  const response = {rateLimit: named, askedAt: 1, heardAt: 2};
  const limits = knownLimits.record(new Map(), SERVER, response);
  const rateLimit = {type: 'unknown'} as const;
  const next = {rateLimit, askedAt: 3, heardAt: 4};
  expect(knownLimits.record(limits, SERVER, next)).toEqual(limits);
});

test('limits are kept while their server is listed', () => {
  const named = {type: 'named', perSecond: 1} as const;
  const response = {rateLimit: named, askedAt: 1, heardAt: 2};
  const limits = knownLimits.record(new Map(), SERVER, response);
  const keptSize = (isListed: boolean) =>
    knownLimits.removeExpired(limits, () => isListed, 100_000).size;
  expect([keptSize(true), keptSize(false)]).toEqual([1, 0]);
});
