// Runs one fake system as a process. Arguments: its name, its options as JSON.
import {startEngine} from './engine/start_engine.js';
import {startPlatform} from './platform/start_platform.js';
import {startService} from './service/start_service.js';

interface FakeSystem {
  readonly port: number;
}

const START_FUNCTIONS: Readonly<
  Record<string, (options: object) => Promise<FakeSystem>>
> = {
  platform: options => startPlatform(options),
  engine: options => startEngine(options),
  service: options => startService(options),
};

const [name = '', options = '{}'] = process.argv.slice(2);
const start = START_FUNCTIONS[name];
if (!start) {
  process.stderr.write(
    `Usage: fake_system_main NAME [OPTIONS_JSON]; NAME is one of ${Object.keys(START_FUNCTIONS).join(', ')}\n`,
  );
  process.exit(2);
}
void start(JSON.parse(options) as object).then(({port}) =>
  process.stdout.write(`${name} listens on port ${port}\n`),
);
