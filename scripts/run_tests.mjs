import {execSync, spawnSync} from 'node:child_process';

const listing = execSync(
  "git ls-files --cached --others --exclude-standard '*.test.ts'",
  {encoding: 'utf8'},
);
execSync('node scripts/build_platform.mjs', {stdio: 'inherit'});
const testFiles = [...new Set(listing.split('\n').filter(Boolean))];
const result = spawnSync(
  process.execPath,
  [
    '--import',
    'tsx',
    '--test',
    '--test-timeout=120000',
    '--test-reporter=spec',
    ...testFiles,
  ],
  {stdio: 'inherit'},
);
process.exit(result.status ?? 1);
