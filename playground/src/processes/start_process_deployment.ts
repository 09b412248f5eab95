import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {DeploymentOptions} from '../deployment/deployment_options.js';
import {applyRecords} from '../deployment/apply_records.js';
import {buildDeploymentRecords} from '../deployment/build_deployment_records.js';
import {resolveDeploymentOptions} from '../deployment/resolve_deployment_options.js';
import {waitFor} from '../deployment/wait_for.js';
import {startFakePlatform} from '../platform/start_fake_platform.js';
import {startFakeService} from '../service/start_fake_service.js';
import {startProcess} from './start_process.js';

interface ProcessDeploymentOptions {
  /** Number of entries. */
  readonly entries: number;
  /** Number of fake engines, each a process with an agent. @default 0 */
  readonly engines?: number;
  readonly engine?: DeploymentOptions['engine'];
  /** Number of instances of the plain service, each with an agent. */
  readonly services: number;
}

type StartedProcess = Awaited<ReturnType<typeof startProcess>>;
type Role = 'entry' | 'agent';

const HOST = '127.0.0.1';
const REVISION_PATTERN =
  /^figfall_(?:agent_)?config_revision\{([^}]*)\} (\d+)$/gm;
const AGENT_LABEL_PATTERN = /agent="([^"]+)"/;

/**
 * Resolves a path relative to this module. Called only when needed, as the
 * single binary has no such files.
 */
function pathOf(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}

/** Returns the path of the built bundle, or of its source if there is none. */
function programPath(): string {
  const bundle = pathOf('../../../dist/figfall.cjs');
  return existsSync(bundle)
    ? bundle
    : pathOf('../../../packages/cli/src/bin.ts');
}

/**
 * Starts a deployment whose entries, agents and engines are processes that can
 * be killed and paused; the fake platform and services run in this process.
 * Resolves once every entry has records and links to all agents.
 */
export async function startProcessDeployment(
  options: ProcessDeploymentOptions,
) {
  const deployment = resolveDeploymentOptions({
    engines: options.engines ?? 0,
    engine: options.engine ?? {},
    running: 64,
    services: options.services,
    entries: options.entries,
  });
  const platform = await startFakePlatform();
  const services = await Promise.all(
    Array.from({length: options.services}, () => startFakeService()),
  );
  const engines = await Promise.all(
    Array.from({length: deployment.engines}, () =>
      startProcess({
        file: pathOf('../fake_system_main.ts'),
        args: [
          'engine',
          JSON.stringify({...options.engine, models: ['log-summary@1']}),
        ],
      }),
    ),
  );
  await applyRecords(platform.baseUrl, buildDeploymentRecords(deployment));
  const zoneOf = (i: number) => deployment.zones[i % deployment.zones.length];
  const processes = new Map<string, StartedProcess>();

  const startNode = async (
    role: Role,
    id: string,
    i: number,
    env: Readonly<Record<string, string>>,
  ): Promise<void> => {
    const zone = zoneOf(i);
    const {region} = deployment;
    const started = await startProcess({
      file: programPath(),
      args: [role],
      env: {
        FIGFALL_ID: id,
        FIGFALL_REGION: region,
        FIGFALL_ZONE: zone,
        FIGFALL_PLATFORM_URL: platform.baseUrl,
        FIGFALL_LINK_KEY: 'playground-link-key',
        FIGFALL_LOG_LEVEL: 'error',
        FIGFALL_LINK_PORT: '0',
        FIGFALL_METRICS_PORT: '0',
        FIGFALL_HTTP_PORT: '0',
        ...env,
      },
    });
    processes.set(id, started);
    const {port} = started;
    const backendServer = env.FIGFALL_BACKEND_SERVER;
    const location = {host: HOST, port, region, zone, state: 'live'} as const;
    platform.instances.set({id, role, ...location, backendServer});
  };

  const agentId = (i: number) => `agent-booking-${i + 1}`;
  const entryId = (i: number) => `entry-${i + 1}`;
  const startAgent = (i: number) =>
    startNode('agent', agentId(i), i, {
      FIGFALL_BACKEND_SERVER: `booking-${i + 1}`,
      FIGFALL_BACKEND_URL: services[i].baseUrl,
    });
  const engineUrls = engines.map(({port}) => `http://${HOST}:${port}`);
  const startEngineAgent = (i: number) =>
    startNode('agent', `agent-engine-${i + 1}`, i, {
      FIGFALL_BACKEND_SERVER: `engine-${i + 1}`,
      FIGFALL_BACKEND_URL: engineUrls[i],
    });
  const startEntry = (i: number) => startNode('entry', entryId(i), i, {});
  const sendSignal = (id: string, signal: NodeJS.Signals) =>
    processes.get(id)?.child.kill(signal);

  await Promise.all([
    ...services.map((_, i) => startAgent(i)),
    ...engines.map((_, i) => startEngineAgent(i)),
    ...Array.from({length: options.entries}, (_, i) => startEntry(i)),
  ]);
  const entryUrl = (i: number) =>
    `http://${HOST}:${processes.get(entryId(i))?.port}`;
  const entryUrls = Array.from({length: options.entries}, (_, i) =>
    entryUrl(i),
  );

  /**
   * Reads configuration revisions from the metrics of the entries: their own
   * and, with an ID of the form `entry/agent`, those of agents they link to.
   */
  const readConfigRevisions = async () =>
    (
      await Promise.all(
        entryUrls.map(async (url, i) => {
          const text = await (await fetch(`${url}/metrics`)).text();
          return [...text.matchAll(REVISION_PATTERN)].map(
            ([, labels, value]) => {
              const agent = AGENT_LABEL_PATTERN.exec(labels)?.[1];
              const id = agent ? `${entryId(i)}/${agent}` : entryId(i);
              return {id, revision: Number(value)};
            },
          );
        }),
      )
    ).flat();
  await waitFor('entries have records', async () =>
    (await readConfigRevisions()).every(({revision}) => revision > 0),
  );
  const agentCount = services.length + engines.length;
  await waitFor('links are up', async () => {
    const texts = await Promise.all(
      entryUrls.map(async url => (await fetch(`${url}/metrics`)).text()),
    );
    return texts.every(text =>
      new RegExp(`figfall_links\\{[^}]*\\} ${agentCount}$`, 'm').test(text),
    );
  });

  return {
    platform,
    services,
    engineUrls,
    entryUrls,
    readConfigRevisions,
    /** IDs of the entries and agents with their operating system process IDs. */
    processIds: () =>
      [...processes].map(([id, {child}]) => ({id, pid: child.pid ?? 0})),
    startAgent,
    killAgent: (i: number) => processes.get(agentId(i))?.kill(),
    pauseAgent: (i: number) => sendSignal(agentId(i), 'SIGSTOP'),
    resumeAgent: (i: number) => sendSignal(agentId(i), 'SIGCONT'),
    killEntry: (i: number) => processes.get(entryId(i))?.kill(),
    applyRecord: (record: unknown) => applyRecords(platform.baseUrl, [record]),
    close: async () => {
      [...processes.keys()].forEach(id => sendSignal(id, 'SIGCONT'));
      await Promise.all([...processes.values()].map(p => p.kill()));
      await Promise.all([
        platform.close(),
        ...engines.map(engine => engine.kill()),
        ...services.map(service => service.close()),
      ]);
    },
  };
}
