import {fileURLToPath} from 'node:url';
import type {Instance} from '@figfall/decisions';
import {applyRecords} from '../deployment/apply_records.js';
import {buildDeploymentRecords} from '../deployment/build_deployment_records.js';
import {resolveDeploymentOptions} from '../deployment/resolve_deployment_options.js';
import {DEMO_OPTIONS} from '../demo/demo_options.js';
import {runDemo} from '../demo/run_demo.js';
import {sleep} from '../http/sleep.js';
import {startProcess} from './start_process.js';

type StartedProcess = Awaited<ReturnType<typeof startProcess>>;

const HOST = '127.0.0.1';
/** Time until links are up and all processes have the records. */
const SETTLE_MS = 3_000;

const FAKE_SYSTEM_PATH = fileURLToPath(
  new URL('../fake_system_main.ts', import.meta.url),
);
const FIGFALL_PATH = fileURLToPath(
  new URL('../../../packages/cli/src/bin.ts', import.meta.url),
);

const DEPLOYMENT = resolveDeploymentOptions({
  ...DEMO_OPTIONS,
  engines: 3,
  services: 2,
});

function baseUrlOf({port}: StartedProcess): string {
  return `http://${HOST}:${port}`;
}

function startFakeSystem(
  name: string,
  options: object = {},
): Promise<StartedProcess> {
  return startProcess({
    file: FAKE_SYSTEM_PATH,
    args: [name, JSON.stringify(options)],
  });
}

/** Lists an instance as live, through the fake platform's test interface. */
async function registerInstance(
  platform: StartedProcess,
  instance: Omit<Instance, 'host' | 'state' | 'region'>,
): Promise<void> {
  const {region} = DEPLOYMENT;
  await fetch(`${baseUrlOf(platform)}/control`, {
    method: 'POST',
    body: JSON.stringify({
      instance: {...instance, host: HOST, state: 'live', region},
    }),
  });
}

function startFigfall(
  role: 'entry' | 'agent',
  platform: StartedProcess,
  env: Readonly<Record<string, string>>,
): Promise<StartedProcess> {
  return startProcess({
    file: FIGFALL_PATH,
    args: [role],
    env: {
      FIGFALL_REGION: DEPLOYMENT.region,
      FIGFALL_PLATFORM_URL: baseUrlOf(platform),
      FIGFALL_LINK_KEY: 'playground-link-key',
      FIGFALL_LOG_LEVEL: 'warn',
      FIGFALL_LINK_PORT: '0',
      FIGFALL_METRICS_PORT: '0',
      FIGFALL_HTTP_PORT: '0',
      ...env,
    },
  });
}

async function startAgent(
  platform: StartedProcess,
  name: string,
  backend: StartedProcess,
  zone: string,
): Promise<StartedProcess> {
  const id = `agent-${name}`;
  const agent = await startFigfall('agent', platform, {
    FIGFALL_ID: id,
    FIGFALL_ZONE: zone,
    FIGFALL_BACKEND_SERVER: name,
    FIGFALL_BACKEND_URL: baseUrlOf(backend),
  });
  const {port} = agent;
  await registerInstance(platform, {
    id,
    role: 'agent',
    port,
    zone,
    backendServer: name,
  });
  return agent;
}

async function startEntry(
  platform: StartedProcess,
  id: string,
  zone: string,
): Promise<StartedProcess> {
  const env = {FIGFALL_ID: id, FIGFALL_ZONE: zone};
  const entry = await startFigfall('entry', platform, env);
  await registerInstance(platform, {id, role: 'entry', port: entry.port, zone});
  return entry;
}

/**
 * Runs the demo against a deployment in which entries, agents and the fake
 * systems are processes. Returns the exit code: 0 if all steps passed.
 */
export async function runProcessDemo(
  print: (line: string) => void,
): Promise<number> {
  const zoneOf = (i: number) => DEPLOYMENT.zones[i % DEPLOYMENT.zones.length];
  const indexes = (count: number) => Array.from({length: count}, (_, i) => i);
  const platform = await startFakeSystem('platform');
  const engines = await Promise.all(
    indexes(DEPLOYMENT.engines).map(() =>
      startFakeSystem('engine', {
        ...DEPLOYMENT.engine,
        models: ['log-summary@1'],
      }),
    ),
  );
  const services = await Promise.all(
    indexes(DEPLOYMENT.services).map(() => startFakeSystem('service')),
  );
  await applyRecords(baseUrlOf(platform), buildDeploymentRecords(DEPLOYMENT));
  const agents = await Promise.all([
    ...engines.map((engine, i) =>
      startAgent(platform, `engine-${i + 1}`, engine, zoneOf(i)),
    ),
    ...services.map((service, i) =>
      startAgent(platform, `booking-${i + 1}`, service, zoneOf(i)),
    ),
  ]);
  const entries = await Promise.all(
    indexes(DEPLOYMENT.entries).map(i =>
      startEntry(platform, `entry-${i + 1}`, zoneOf(i)),
    ),
  );
  const processes = [...entries, ...agents, ...services, ...engines, platform];
  print(`${processes.length} processes are running.`);
  await sleep(SETTLE_MS);
  const passed = await runDemo(
    {
      entryUrls: entries.map(baseUrlOf),
      platformUrl: baseUrlOf(platform),
      engines: engines.map((engine, i) => ({
        url: baseUrlOf(engine),
        zone: zoneOf(i),
      })),
      serviceUrls: services.map(baseUrlOf),
      engineTokens: DEMO_OPTIONS.engine.totalTokens,
    },
    print,
  );
  await Promise.all(entries.map(entry => entry.stop()));
  await Promise.all(agents.map(agent => agent.stop()));
  const fakeSystems = [...services, ...engines, platform];
  await Promise.all(fakeSystems.map(process => process.stop()));
  print(passed ? 'The demo passed.' : 'The demo FAILED.');
  return passed ? 0 : 1;
}
