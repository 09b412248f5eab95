import {mkdtempSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {build} from 'esbuild';

test('a bundle of the playground loads and exports runDev', async () => {
  const outfile = join(mkdtempSync(join(tmpdir(), 'figfall-')), 'bundle.cjs');
  const entry = '../../../../playground/src/index.ts';
  await build({
    entryPoints: [fileURLToPath(new URL(entry, import.meta.url))],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    logLevel: 'silent',
  });
  const loaded = createRequire(import.meta.url)(outfile) as object;
  expect(Object.keys(loaded).includes('runDev')).toEqual(true);
});
