import {startFakeEngine} from './engine/start_fake_engine.js';
import {startFakePlatform} from './platform/start_fake_platform.js';
import {startFakeService} from './service/start_fake_service.js';

interface StandIn {
  readonly port: number;
}

const STARTERS: Readonly<
  Record<string, (options: object) => Promise<StandIn>>
> = {
  platform: options => startFakePlatform(options),
  engine: options => startFakeEngine(options),
  service: options => startFakeService(options),
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
