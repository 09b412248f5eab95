import {fileURLToPath} from 'node:url';
import type {Instance} from '@figfall/decisions';
import {applyRecords} from '../deployment/apply_records.js';
import {buildDeploymentRecords} from '../deployment/build_deployment_records.js';
import {resolveDeploymentOptions} from '../deployment/resolve_deployment_options.js';
import {DEMO_OPTIONS} from '../demo/demo_options.js';
import {runDemo} from '../demo/run_demo.js';
import {sleep} from '../http/sleep.js';
import {startProcess} from './start_process.js';

type Started = Awaited<ReturnType<typeof startProcess>>;

const HOST = '127.0.0.1';
const SETTLE_MS = 3_000;

const STAND_IN = fileURLToPath(
  new URL('../fake_system_main.ts', import.meta.url),
);
const FIGFALL = fileURLToPath(
  new URL('../../../packages/cli/src/bin.ts', import.meta.url),
);

const OPTIONS = resolveDeploymentOptions({
  ...DEMO_OPTIONS,
  engines: 3,
  services: 2,
});

function url({port}: Started): string {
  return `http://${HOST}:${port}`;
}

function standIn(name: string, options: object = {}): Promise<Started> {
  return startProcess({
    file: STAND_IN,
    args: [name, JSON.stringify(options)],
  });
}

async function register(
  platform: Started,
  instance: Omit<Instance, 'host' | 'state' | 'region'>,
): Promise<void> {
  const {region} = OPTIONS;
  await fetch(`${url(platform)}/control`, {
    method: 'POST',
    body: JSON.stringify({
      instance: {...instance, host: HOST, state: 'live', region},
    }),
  });
}

function figfall(
  role: 'entry' | 'agent',
  platform: Started,
  env: Readonly<Record<string, string>>,
): Promise<Started> {
  return startProcess({
    file: FIGFALL,
    args: [role],
    env: {
      FIGFALL_REGION: OPTIONS.region,
      FIGFALL_PLATFORM_URL: url(platform),
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
  platform: Started,
  name: string,
  backend: Started,
  zone: string,
): Promise<Started> {
  const id = `agent-${name}`;
  const agent = await figfall('agent', platform, {
    FIGFALL_ID: id,
    FIGFALL_ZONE: zone,
    FIGFALL_BACKEND_SERVER: name,
    FIGFALL_BACKEND_URL: url(backend),
  });
  const {port} = agent;
  await register(platform, {
    id,
    role: 'agent',
    port,
    zone,
    backendServer: name,
  });
  return agent;
}

async function startEntry(
  platform: Started,
  id: string,
  zone: string,
): Promise<Started> {
  const env = {FIGFALL_ID: id, FIGFALL_ZONE: zone};
  const entry = await figfall('entry', platform, env);
  await register(platform, {id, role: 'entry', port: entry.port, zone});
  return entry;
}

/** Starts everything as a process of its own and runs the demo against it. */
export async function runProcesses(
  print: (line: string) => void,
): Promise<number> {
  const zoneOf = (i: number) => OPTIONS.zones[i % OPTIONS.zones.length];
  const indexes = (count: number) => Array.from({length: count}, (_, i) => i);
  const platform = await standIn('platform');
  const engines = await Promise.all(
    indexes(OPTIONS.engines).map(() =>
      standIn('engine', {...OPTIONS.engine, models: ['log-summary@1']}),
    ),
  );
  const services = await Promise.all(
    indexes(OPTIONS.services).map(() => standIn('service')),
  );
  await applyRecords(url(platform), buildDeploymentRecords(OPTIONS));
  const agents = await Promise.all([
    ...engines.map((engine, i) =>
      startAgent(platform, `engine-${i + 1}`, engine, zoneOf(i)),
    ),
    ...services.map((service, i) =>
      startAgent(platform, `booking-${i + 1}`, service, zoneOf(i)),
    ),
  ]);
  const entries = await Promise.all(
    indexes(OPTIONS.entries).map(i =>
      startEntry(platform, `entry-${i + 1}`, zoneOf(i)),
    ),
  );
  const all = [...entries, ...agents, ...services, ...engines, platform];
  print(`${all.length} processes are running.`);
  await sleep(SETTLE_MS);
  const passed = await runDemo(
    {
      entryUrls: entries.map(url),
      platformUrl: url(platform),
      engines: engines.map((engine, i) => ({
        url: url(engine),
        zone: zoneOf(i),
      })),
      serviceUrls: services.map(url),
      engineTokens: DEMO_OPTIONS.engine.totalTokens,
    },
    print,
  );
  await Promise.all(entries.map(entry => entry.stop()));
  await Promise.all(agents.map(agent => agent.stop()));
  const standIns = [...services, ...engines, platform];
  await Promise.all(standIns.map(process => process.stop()));
  print(passed ? 'The demo passed.' : 'The demo FAILED.');
  return passed ? 0 : 1;
}
