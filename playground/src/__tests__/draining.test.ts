import {test} from 'node:test';
import {expect} from 'earl';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {waitFor} from '../deployment/wait_for.js';
import {sleep} from '../http/sleep.js';
import {withDeployment} from './with_deployment.js';

const MAX_TOKENS = 60;
const ENGINE = {decodeMs: 20, prefillRate: 400_000};

test('an evacuated zone finishes its requests and gets none, also in an outage', () =>
  withDeployment({engine: ENGINE, services: 0}, async context => {
    const {deployment, callers} = context;
    const [nord] = deployment.engines;
    const prompts = Array.from({length: 12}, (_, i) =>
      makePrompt(500, `zone ${i}`),
    );
    const running = prompts.map((prompt, i) =>
      callers[i % 2].complete({prompt, maxTokens: MAX_TOKENS}),
    );
    await waitFor('requests run in nord', () => nord.load().running > 0);
    await deployment.setZone('nord', 'out');
    deployment.platform.faults.down = true;
    deployment.platform.faults.listDown = true;
    const answers = await Promise.all(running);
    answers.forEach(({text}, i) =>
      expect(text).toEqual(expectedText(prompts[i], MAX_TOKENS)),
    );
    await waitFor('nord gets no new requests', async () => {
      const before = nord.counts.generations;
      const newAnswers = await Promise.all(
        prompts.map(prompt => callers[1].complete({prompt, maxTokens: 2})),
      );
      expect(newAnswers.every(({complete}) => complete)).toEqual(true);
      return nord.counts.generations === before;
    });
    deployment.platform.faults.down = false;
    deployment.platform.faults.listDown = false;
    await deployment.setZone('nord', 'in');
    await waitFor('nord gets requests again', async () => {
      const before = nord.counts.generations;
      await Promise.all(
        prompts.map(prompt => callers[0].complete({prompt, maxTokens: 2})),
      );
      return nord.counts.generations > before;
    });
  }));

test('a graceful shutdown of an agent and an entry interrupts no request', () =>
  withDeployment({engine: ENGINE, services: 0, entries: 3}, async context => {
    const {deployment, callers} = context;
    const prompts = Array.from({length: 9}, (_, i) =>
      makePrompt(500, `shutdown ${i}`),
    );
    const running = prompts.map((prompt, i) =>
      callers[i % 2].complete({prompt, maxTokens: MAX_TOKENS}),
    );
    await waitFor('requests run on engines', () =>
      deployment.engines.some(engine => engine.load().running > 0),
    );
    await sleep(100);
    await Promise.all([
      deployment.agents[0].drain(),
      deployment.entries[0].drain(),
    ]);
    const answers = await Promise.all(running);
    answers.forEach(({text}, i) =>
      expect(text).toEqual(expectedText(prompts[i], MAX_TOKENS)),
    );
    const after = await callers[1].complete({prompt: prompts[0]});
    expect(after.complete).toEqual(true);
  }));

test('several entries together never exceed the limit of a cold engine', () =>
  withDeployment(
    {
      engine: {...ENGINE, coldMs: 3_000, coldCompletions: 8, coldRunning: 2},
      engines: 3,
      entries: 4,
      services: 0,
    },
    async ({deployment, callers}) => {
      const {engines} = deployment;
      engines.forEach(engine => engine.resetToCold());
      const answers = await Promise.all(
        Array.from({length: 60}, (_, i) =>
          callers[i % 4].complete({
            prompt: makePrompt(200, `cold ${i}`),
            maxTokens: 4,
          }),
        ),
      );
      engines.forEach(({coldStats}) =>
        expect(coldStats.maxOverLimit <= 0).toEqual(true),
      );
      answers
        .filter(({complete}) => !complete)
        .forEach(({ran}) => expect(ran).toEqual('no'));
      expect(answers.some(({complete}) => complete)).toEqual(true);
    },
  ));

test('an entry that starts while the platform is down serves with records of its peers', () =>
  withDeployment({engine: ENGINE, services: 0}, async context => {
    const {deployment, callers} = context;
    const [, second] = deployment.entries;
    await second.kill();
    deployment.platform.faults.down = true;
    await second.start();
    await waitFor('the entry is ready', () => second.isReady());
    await waitFor('the entry serves', async () => {
      const prompt = makePrompt(100, 'outage');
      return (await callers[1].complete({prompt})).complete;
    });
  }));

test('a backend server listed as leaving gets no new requests', () =>
  withDeployment({engine: ENGINE, services: 0}, async context => {
    const {deployment, callers} = context;
    const [engine] = deployment.engines;
    deployment.agents[0].markLeaving();
    await waitFor('the engine gets no new requests', async () => {
      const before = engine.counts.generations;
      const answers = await Promise.all(
        Array.from({length: 12}, (_, i) =>
          callers[i % 2].complete({prompt: makePrompt(100, `leave ${i}`)}),
        ),
      );
      expect(answers.every(({complete}) => complete)).toEqual(true);
      return engine.counts.generations === before;
    });
  }));
