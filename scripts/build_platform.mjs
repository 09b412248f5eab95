import {build} from 'esbuild';

/** Keeps the gateway out of the program's first file, which then loads it. */
const separateGateway = {
  name: 'separate-gateway',
  setup: ({onResolve}) =>
    onResolve({filter: /\/run_gateway\.js$/}, ({kind}) =>
      kind === 'dynamic-import'
        ? {path: './figfall_gateway.cjs', external: true}
        : undefined,
    ),
};

await build({
  entryPoints: {
    figfall: 'platform/src/main.ts',
    figfall_gateway: 'platform/src/run_gateway.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  supported: {'dynamic-import': false},
  plugins: [separateGateway],
  legalComments: 'none',
  external: ['cbor-extract'],
  minifySyntax: true,
  logLevel: 'warning',
});
