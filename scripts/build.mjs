import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const OUT_DIR = 'dist';
const BUNDLE = `${OUT_DIR}/figfall.cjs`;
const BLOB = `${OUT_DIR}/figfall.blob`;
const BINARY = `${OUT_DIR}/figfall`;
/** Marker that Node.js looks up in its binary to find the embedded bundle. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(OUT_DIR, {recursive: true});
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
const seaConfig = `${OUT_DIR}/sea.json`;
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  'npx',
  ['postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SEA_FUSE],
  {stdio: 'inherit'},
);
