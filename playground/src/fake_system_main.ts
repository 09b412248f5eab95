// Runs one fake system as a process. Arguments: its name, its options as JSON.
import {startFakeEngine} from './engine/start_fake_engine.js';
import {startFakePlatform} from './platform/start_fake_platform.js';
import {startFakeService} from './service/start_fake_service.js';

interface FakeSystem {
  readonly port: number;
}

const START_FUNCTIONS: Readonly<
  Record<string, (options: object) => Promise<FakeSystem>>
> = {
  platform: options => startFakePlatform(options),
  engine: options => startFakeEngine(options),
  service: options => startFakeService(options),
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
