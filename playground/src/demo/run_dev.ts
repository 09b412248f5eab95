import {demoToken} from '../deployment/demo_token.js';
import {startDeployment} from '../deployment/start_deployment.js';
import type {DeploymentOptions} from '../deployment/deployment_options.js';
import {waitFor} from '../deployment/wait_for.js';
import {sleep} from '../http/sleep.js';
import {DEMO_OPTIONS} from './demo_options.js';
import type {DemoTarget} from './demo_target.js';
import {runDemo} from './run_demo.js';

interface DevOptions extends Pick<
  DeploymentOptions,
  'httpPort' | 'logLevel' | 'traceExporter'
> {
  /** Runs the demo and exits, instead of serving until a signal. */
  readonly isDemo: boolean;
  readonly print: (line: string) => void;
}

type Deployment = Awaited<ReturnType<typeof startDeployment>>;

/** Time until entries are linked to all agents. */
const SETTLE_MS = 1_500;

function demoTargetOf(deployment: Deployment): DemoTarget {
  const {engines, entries, services, platform, options} = deployment;
  return {
    entryUrls: entries.map(({baseUrl}) => baseUrl),
    platformUrl: platform.baseUrl,
    engines: engines.map(({baseUrl}, i) => ({
      url: baseUrl,
      zone: options.zones[i % options.zones.length],
    })),
    serviceUrls: services.map(({baseUrl}) => baseUrl),
    engineTokens: DEMO_OPTIONS.engine.totalTokens,
  };
}

function printCommands(
  target: DemoTarget,
  print: (line: string) => void,
): void {
  const [entry] = target.entryUrls;
  const headers = `-H 'Authorization: Bearer ${demoToken('lindenau')}' -H 'X-Figfall-Workspace: lindenau' -H 'Content-Type: application/json'`;
  [
    `entries: ${target.entryUrls.join(' ')}`,
    `platform: ${target.platformUrl}`,
    '',
    'Send a prompt:',
    `  curl -N ${entry}/v1/completions ${headers} -d '{"model":"log-summary","prompt":"Summarise the day.","max_tokens":12,"stream":true}'`,
    'Book; a repetition with the same key gets the same response:',
    `  curl ${entry}/v1/services/booking/dosing ${headers} -H 'Idempotency-Key: b1' -H "Idempotency-Key-Created: $(date +%s)000" -d '{"odorant":"THT"}'`,
    'Inspect and operate:',
    `  npx tsx packages/cli/src/bin.ts status --platform-url ${target.platformUrl}`,
    `  npx tsx packages/cli/src/bin.ts drain availability-zone werk --platform-url ${target.platformUrl}`,
    '',
    'Press Ctrl-C to stop.',
  ].forEach(print);
}

/**
 * Runs a deployment in this process, until the demo ends or SIGINT or SIGTERM
 * arrives. Returns the exit code: 1 if the demo failed.
 */
export async function runDev(options: DevOptions): Promise<number> {
  const {isDemo, print, httpPort, logLevel, traceExporter} = options;
  const deploymentOptions: DeploymentOptions = {
    ...DEMO_OPTIONS,
    httpPort: isDemo ? 0 : httpPort,
    logLevel,
    traceExporter,
  };
  const deployment = await startDeployment(deploymentOptions);
  await waitFor('entries are ready', () =>
    deployment.entries.every(entry => entry.isReady()),
  );
  await sleep(SETTLE_MS);
  const target = demoTargetOf(deployment);
  if (isDemo) {
    const passed = await runDemo(target, print);
    await deployment.close();
    print(passed ? 'The demo passed.' : 'The demo FAILED.');
    return passed ? 0 : 1;
  }
  printCommands(target, print);
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  await deployment.close();
  return 0;
}
