import {test} from 'node:test';
import {expect} from 'earl';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {waitFor} from '../deployment/wait_for.js';
import {sleep} from '../http/sleep.js';
import {withDeployment} from './with_deployment.js';

const TOKENS = 60;
const ENGINE = {decodeMs: 20, prefillRate: 400_000};

test('a zone taken out finishes its work and gets none, store down or not', () =>
  withDeployment({engine: ENGINE, services: 0}, async subject => {
    const {deployment, callers} = subject;
    const [nord] = deployment.engines;
    const prompts = Array.from({length: 12}, (_, i) =>
      makePrompt(500, `zone ${i}`),
    );
    const running = prompts.map((prompt, i) =>
      callers[i % 2].complete({prompt, maxTokens: TOKENS}),
    );
    await waitFor('work in nord', () => nord.load().running > 0);
    await deployment.setZone('nord', 'out');
    deployment.platform.faults.down = true;
    deployment.platform.faults.listDown = true;
    const answers = await Promise.all(running);
    answers.forEach(({text}, i) =>
      expect(text).toEqual(expectedText(prompts[i], TOKENS)),
    );
    await waitFor('nord gets nothing new', async () => {
      const before = nord.counts.generations;
      const more = await Promise.all(
        prompts.map(prompt => callers[1].complete({prompt, maxTokens: 2})),
      );
      expect(more.every(({complete}) => complete)).toEqual(true);
      return nord.counts.generations === before;
    });
    deployment.platform.faults.down = false;
    deployment.platform.faults.listDown = false;
    await deployment.setZone('nord', 'in');
    await waitFor('nord takes work again', async () => {
      const before = nord.counts.generations;
      await Promise.all(
        prompts.map(prompt => callers[0].complete({prompt, maxTokens: 2})),
      );
      return nord.counts.generations > before;
    });
  }));

test('a graceful shutdown of agent and entry cuts no request', () =>
  withDeployment({engine: ENGINE, services: 0, entries: 3}, async subject => {
    const {deployment, callers} = subject;
    const prompts = Array.from({length: 9}, (_, i) =>
      makePrompt(500, `shutdown ${i}`),
    );
    const running = prompts.map((prompt, i) =>
      callers[i % 2].complete({prompt, maxTokens: TOKENS}),
    );
    await waitFor('work on engines', () =>
      deployment.engines.some(engine => engine.load().running > 0),
    );
    await sleep(100);
    await Promise.all([
      deployment.agents[0].drain(),
      deployment.entries[0].drain(),
    ]);
    const answers = await Promise.all(running);
    answers.forEach(({text}, i) =>
      expect(text).toEqual(expectedText(prompts[i], TOKENS)),
    );
    const after = await callers[1].complete({prompt: prompts[0]});
    expect(after.complete).toEqual(true);
  }));

test('many entries at once never exceed what a cold engine bears', () =>
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

test('a node that starts in an outage serves with its peers records', () =>
  withDeployment({engine: ENGINE, services: 0}, async subject => {
    const {deployment, callers} = subject;
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

test('a backend server listed as leaving gets nothing new', () =>
  withDeployment({engine: ENGINE, services: 0}, async subject => {
    const {deployment, callers} = subject;
    const [engine] = deployment.engines;
    deployment.agents[0].markLeaving();
    await waitFor('it gets nothing new', async () => {
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
