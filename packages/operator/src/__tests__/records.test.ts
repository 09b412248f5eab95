import {test} from 'node:test';
import {expect} from 'earl';
import {decodeRecord} from '../decode_record.js';
import {decodeRecordText} from '../decode_record_text.js';
import {describeStatus} from '../status/describe_status.js';

const COMMON = {
  kind: 'backend-server',
  name: 'engine-1',
  server: 'model-engine',
  state: 'in',
};

test('old and new schema versions decode to the same data', () => {
  const old = decodeRecord({
    ...COMMON,
    schemaVersion: 1,
    capacity: 8,
    coldCapacity: 2,
  });
  const current = decodeRecord({
    ...COMMON,
    schemaVersion: 2,
    limits: {running: 8, coldRunning: 2},
  });
  expect(old._unsafeUnwrap()).toEqual(current._unsafeUnwrap());
  const tokenHash = 'a'.repeat(64);
  const workspace = {kind: 'workspace', name: 'w'};
  const one = decodeRecord({...workspace, schemaVersion: 1, tokenHash});
  const two = decodeRecord({
    ...workspace,
    schemaVersion: 2,
    tokenHashes: [tokenHash],
  });
  expect(one._unsafeUnwrap()).toEqual(two._unsafeUnwrap());
});

test('a validation error names the field, the value and the allowed values', () => {
  const wrong = decodeRecord({
    ...COMMON,
    schemaVersion: 2,
    state: 'maybe',
    limits: {running: 0, coldRunning: 2},
  });
  const issues = wrong._unsafeUnwrapErr();
  expect(issues.map(({field, value}) => [field, value])).toEqual([
    ['state', '"maybe"'],
    ['limits.running', '0'],
  ]);
  expect(issues[0].allowed.includes('"in"|"out"')).toEqual(true);
});

test('unknown kinds and schema versions and invalid JSON are rejected', () => {
  const fieldOf = (value: unknown) =>
    decodeRecord(value)._unsafeUnwrapErr()[0].field;
  expect(fieldOf({kind: 'toString', schemaVersion: 1})).toEqual('kind');
  expect(fieldOf({...COMMON, schemaVersion: 9})).toEqual('schemaVersion');
  expect(fieldOf(undefined)).toEqual('kind');
  const broken = decodeRecordText('{"kind":')._unsafeUnwrapErr();
  expect(broken[0].allowed.startsWith('JSON')).toEqual(true);
});

test('the status names running requests and outdated instances', () => {
  const at = '2026-12-04T10:02:08.000Z';
  const sentences = describeStatus({
    zones: [{name: 'werk', state: 'out', since: '2026-12-04T10:02:07.000Z'}],
    statuses: [
      {
        zone: 'werk',
        at,
        writer: 'entry-1',
        revision: 7,
        nodes: [
          {id: 'entry-1', role: 'entry', revision: 7},
          {id: 'agent-1', role: 'agent', revision: 6, running: 3},
        ],
      },
    ],
    revision: 7,
    now: Date.parse(at),
  });
  expect(sentences).toEqual([
    'Availability zone werk is out since 10:02:07; 3 requests are still finishing.',
    'Configuration version 7 is in force on 1 of 2 instances; not yet on agent-1.',
  ]);
});
