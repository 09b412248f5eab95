import {execSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('node_modules/tsx') || !existsSync('node_modules/figfall')) {
  execSync('npm ci --no-fund --no-audit', {stdio: 'inherit'});
}
