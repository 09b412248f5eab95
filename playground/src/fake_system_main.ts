import {startEngine} from './engine/start_engine.js';
import {startPlatform} from './platform/start_platform.js';
import {startService} from './service/start_service.js';

interface StandIn {
  readonly port: number;
}

const STARTERS: Readonly<
  Record<string, (options: object) => Promise<StandIn>>
> = {
  platform: options => startPlatform(options),
  engine: options => startEngine(options),
  service: options => startService(options),
};

/** Runs one stand-in as a process: its name, then its options as JSON. */
const [name = '', options = '{}'] = process.argv.slice(2);
const start = STARTERS[name];
if (!start) {
  process.stderr.write(`Name one of ${Object.keys(STARTERS).join(', ')}.\n`);
  process.exit(2);
}
void start(JSON.parse(options) as object).then(({port}) =>
  process.stdout.write(`${name} listens on port ${port}\n`),
);
