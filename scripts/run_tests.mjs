import {execSync, spawnSync} from 'node:child_process';

const list = execSync(
  "git ls-files --cached --others --exclude-standard '*.test.ts'",
  {encoding: 'utf8'},
);
execSync('node scripts/build_platform.mjs', {stdio: 'inherit'});
const files = [...new Set(list.split('\n').filter(Boolean))];
const run = spawnSync(
  process.execPath,
  [
    '--import',
    'tsx',
    '--test',
    '--test-timeout=120000',
    '--test-reporter=spec',
    ...files,
  ],
  {stdio: 'inherit'},
);
process.exit(run.status ?? 1);
