import {createCaller} from '../caller/create_caller.js';
import {makePrompt} from '../caller/make_prompt.js';
import type {DeploymentOptions} from '../deployment/deployment_options.js';
import {startDeployment} from '../deployment/start_deployment.js';
import {waitFor} from '../deployment/wait_for.js';

type Deployment = Awaited<ReturnType<typeof startDeployment>>;
type Caller = ReturnType<typeof createCaller>;

/** What a test of a deployment works with. */
interface Subject {
  readonly deployment: Deployment;
  /** One caller for each entry. */
  readonly callers: readonly Caller[];
}

async function isServing({deployment, callers}: Subject): Promise<boolean> {
  const prompt = makePrompt(50, `warm ${Math.random()}`);
  const answers = await Promise.all([
    ...callers.map(caller => caller.complete({prompt, maxTokens: 1})),
    ...callers.map((caller, i) =>
      caller.book({key: `warm-${i}`, body: 'warm'}),
    ),
  ]);
  const {engines, services} = deployment;
  const expected = [
    ...callers.map(() => engines.length > 0),
    ...callers.map(() => services.length > 0),
  ];
  return answers.every(({complete}, i) => complete || !expected[i]);
}

/** Runs a test against a deployment that serves, and closes it after. */
export async function withDeployment(
  options: DeploymentOptions,
  run: (subject: Subject) => Promise<void>,
): Promise<void> {
  const deployment = await startDeployment(options);
  const callers = deployment.entries.map(entry =>
    createCaller(() => entry.baseUrl, deployment.options.workspaces[0]),
  );
  const subject = {deployment, callers};
  try {
    await waitFor('the deployment serves', () => isServing(subject));
    await run(subject);
  } finally {
    await deployment.close();
  }
}
