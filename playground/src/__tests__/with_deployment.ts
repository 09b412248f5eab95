import {createCaller} from '../caller/create_caller.js';
import {makePrompt} from '../caller/make_prompt.js';
import type {DeploymentOptions} from '../deployment/deployment_options.js';
import {startDeployment} from '../deployment/start_deployment.js';
import {waitFor} from '../deployment/wait_for.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type Caller = ReturnType<typeof createCaller>;

/** What a test of a deployment gets. */
interface TestContext {
  readonly deployment: Deployment;
  /** One caller for each entry, in the order of the entries. */
  readonly callers: readonly Caller[];
}

/** Returns true once each entry serves prompts and bookings, as deployed. */
async function isServing({deployment, callers}: TestContext): Promise<boolean> {
  const prompt = makePrompt(50, `warm ${Math.random()}`);
  const answers = await Promise.all([
    ...callers.map(caller => caller.complete({prompt, maxTokens: 1})),
    ...callers.map((caller, i) =>
      caller.book({key: `warm-${i}`, body: 'warm'}),
    ),
  ]);
  const {engines, services} = deployment;
  const mustSucceed = [
    ...callers.map(() => engines.length > 0),
    ...callers.map(() => services.length > 0),
  ];
  return answers.every(({complete}, i) => complete || !mustSucceed[i]);
}

/** Runs a test once a deployment serves through all entries, then closes it. */
export async function withDeployment(
  options: DeploymentOptions,
  run: (context: TestContext) => Promise<void>,
): Promise<void> {
  const deployment = await startDeployment(options);
  const callers = deployment.entries.map(entry =>
    createCaller(() => entry.baseUrl, deployment.options.workspaces[0]),
  );
  const context = {deployment, callers};
  try {
    await waitFor('the deployment serves', () => isServing(context));
    await run(context);
  } finally {
    await deployment.close();
  }
}
