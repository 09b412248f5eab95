import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {startFakePlatform} from '@figfall/playground';
import {expect} from 'earl';
import {main} from '../main.js';

async function run(argv: readonly string[], env = {}) {
  const out: string[] = [];
  const errors: string[] = [];
  const code = await main({
    argv,
    env,
    output: {
      print: line => out.push(line),
      printError: line => errors.push(line),
    },
  });
  return {code, out: out.join('\n'), errors: errors.join('\n')};
}

function writeRecordFile(value: unknown): string {
  const path = join(mkdtempSync(join(tmpdir(), 'figfall-')), 'record.json');
  writeFileSync(path, JSON.stringify(value));
  return path;
}

const ZONE = {
  kind: 'availability-zone',
  schemaVersion: 1,
  name: 'werk',
  state: 'in',
};

test('the errors of all settings are printed together', async () => {
  const {code, errors} = await run(['agent', '--zone', 'A B'], {
    FIGFALL_LINK_KEY: 'short',
    UV_USE_IO_URING: '1',
  });
  expect(code).toEqual(2);
  [
    'set --id or FIGFALL_ID',
    '--zone is "A B"',
    'FIGFALL_LINK_KEY is "short"; it must have 16 characters or more',
    'UV_USE_IO_URING',
  ].forEach(text => expect(errors.includes(text)).toEqual(true));
});

test('the dev command checks its settings and the environment', async () => {
  const {code, errors} = await run(['dev', '--http-port', 'x', '--demo'], {
    UV_USE_IO_URING: '1',
  });
  expect(code).toEqual(2);
  ['--http-port is "x"', 'UV_USE_IO_URING'].forEach(text =>
    expect(errors.includes(text)).toEqual(true),
  );
});

test('each command that the help lists has its own help text', async () => {
  const {out} = await run(['--help']);
  const names = [...out.matchAll(/^ {2}([a-z]+) {2,}/gm)].map(([, n]) => n);
  expect(names.length).toEqual(11);
  for (const name of names) {
    const {code, out: help} = await run([name, '--help']);
    expect(code).toEqual(0);
    expect(help.startsWith(`usage: figfall ${name}`)).toEqual(true);
  }
  expect((await run(['toString'])).code).toEqual(2);
  expect((await run(['get', '--nonsense'])).code).toEqual(2);
});

test('a version that is not a whole number is refused before any write', async () => {
  const platform = await startFakePlatform();
  const url = ['--platform-url', platform.baseUrl];
  try {
    const path = writeRecordFile(ZONE);
    const applied = await run(['apply', path, '--version', 'two', ...url]);
    expect(applied.code).toEqual(2);
    expect(applied.errors.includes('--version two')).toEqual(true);
    const got = await run(['get', 'availability-zone', 'werk', ...url]);
    expect(got.code === 0).toEqual(false);
  } finally {
    await platform.close();
  }
});

test('a concurrent change is a conflict that names the stored version', async () => {
  const platform = await startFakePlatform();
  const url = ['--platform-url', platform.baseUrl];
  try {
    const path = writeRecordFile(ZONE);
    expect((await run(['apply', path, ...url])).code).toEqual(0);
    const again = await run(['apply', path, ...url]);
    expect(again.code).toEqual(4);
    expect(again.errors.includes('--version 1')).toEqual(true);
    const got = await run(['get', 'availability-zone', 'werk', ...url]);
    const edited = writeRecordFile(JSON.parse(got.out));
    expect(
      (await run(['drain', 'availability-zone', 'werk', ...url])).code,
    ).toEqual(0);
    const late = await run(['apply', edited, ...url]);
    expect(late.code).toEqual(4);
    expect(late.errors.includes('has version 2, not 1')).toEqual(true);
    const status = await run(['status', ...url]);
    expect(status.code).toEqual(3);
    expect(status.out.includes('Availability zone werk is out')).toEqual(true);
  } finally {
    await platform.close();
  }
});

test('a write whose response is lost is confirmed, not applied twice', async () => {
  const platform = await startFakePlatform({loseAnswers: 1});
  try {
    const url = ['--platform-url', platform.baseUrl];
    const applied = await run(['apply', writeRecordFile(ZONE), ...url]);
    expect(applied.out).toEqual(
      'availability-zone werk is accepted as version 1',
    );
  } finally {
    await platform.close();
  }
});

test('nothing is written if any record is not valid', async () => {
  const platform = await startFakePlatform();
  try {
    const url = ['--platform-url', platform.baseUrl];
    const path = writeRecordFile([ZONE, {...ZONE, name: 'X', state: 'gone'}]);
    const applied = await run(['apply', path, ...url]);
    expect(applied.code).toEqual(1);
    expect(applied.errors.includes('field state is "gone"')).toEqual(true);
    expect(platform.counts.writes).toEqual(0);
    expect((await run(['validate', writeRecordFile(ZONE)])).code).toEqual(0);
  } finally {
    await platform.close();
  }
});

test('a request is explained from log files', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'figfall-')), 'front.log');
  const time = new Date(0).toISOString();
  const message = 'request refused';
  const line = {time, node: 'front', message, requestId: 'r1', kind: 'leaving'};
  writeFileSync(path, `${JSON.stringify({...line, reason: 'It stops.'})}\n`);
  const {code, out} = await run(['explain', 'r1', path]);
  expect(code).toEqual(0);
  expect(out.includes('It failed as leaving: It stops.')).toEqual(true);
  expect((await run(['explain', 'r2', path])).code).toEqual(1);
  expect((await run(['explain', 'r1', `${path}.gone`])).code).toEqual(1);
  expect((await run(['explain', 'r1'])).code).toEqual(2);
});
