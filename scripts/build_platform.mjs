import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/figfall.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  external: ['cbor-extract'],
  minifySyntax: true,
  logLevel: 'warning',
});
