import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const OUT = 'dist';
const BUNDLE = `${OUT}/figfall.cjs`;
const BLOB = `${OUT}/figfall.blob`;
const BINARY = `${OUT}/figfall`;
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(OUT, {recursive: true});
await build({
  entryPoints: ['packages/cli/src/bin.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  external: ['cbor-extract'],
  logLevel: 'warning',
});
const config = `${OUT}/sea.json`;
writeFileSync(
  config,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', config], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  'npx',
  ['postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', FUSE],
  {stdio: 'inherit'},
);
