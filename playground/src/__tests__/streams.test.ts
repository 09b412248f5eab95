import {test} from 'node:test';
import {expect} from 'earl';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {waitFor} from '../deployment/wait_for.js';
import {waitForFreeEngineMemory} from './wait_for_free_engine_memory.js';
import {withDeployment} from './with_deployment.js';

const SLOW_ENGINE = {decodeMs: 25, prefillRate: 400_000};
const MAX_TOKENS = 60;

/** Creates a token listener that injects a fault at a number of tokens. */
function atToken(count: number, injectFault: () => void) {
  return (received: number) => {
    if (received === count) injectFault();
  };
}

test('a stream is complete although its engine crashes', () =>
  withDeployment({engine: SLOW_ENGINE, services: 0}, async context => {
    const {engines} = context.deployment;
    const prompt = makePrompt(2_000, 'crash in the middle');
    const answer = await context.callers[0].complete({
      prompt,
      maxTokens: MAX_TOKENS,
      onToken: atToken(10, () =>
        engines.filter(e => e.load().running > 0).forEach(e => e.crash()),
      ),
    });
    expect(answer.text).toEqual(expectedText(prompt, MAX_TOKENS));
    expect(answer.complete).toEqual(true);
    await waitForFreeEngineMemory(engines);
  }));

test('a stream is complete although its agent is killed', () =>
  withDeployment({engine: SLOW_ENGINE, services: 0}, async context => {
    const {engines, agents} = context.deployment;
    const prompt = makePrompt(2_000, 'agent dies');
    const busyIndex = () => engines.findIndex(e => e.load().running > 0);
    let killedIndex = -1;
    const answer = await context.callers[0].complete({
      prompt,
      maxTokens: MAX_TOKENS,
      onToken: atToken(10, () => {
        killedIndex = busyIndex();
        void agents[killedIndex].kill();
      }),
    });
    expect(answer.text).toEqual(expectedText(prompt, MAX_TOKENS));
    expect(answer.complete).toEqual(true);
    await agents[killedIndex].start();
    await waitForFreeEngineMemory(engines);
  }));

test('a stream is complete, in one generation, although its connections hang', () =>
  withDeployment(
    {engine: SLOW_ENGINE, services: 0, relays: true},
    async context => {
      const {agents, engines} = context.deployment;
      const generations = () =>
        engines.reduce((sum, {counts}) => sum + counts.generations, 0);
      const prompt = makePrompt(2_000, 'silent');
      const before = generations();
      const answer = await context.callers[0].complete({
        prompt,
        maxTokens: MAX_TOKENS,
        onToken: atToken(10, () =>
          agents.forEach(a => a.relay?.stallConnections()),
        ),
      });
      expect(answer.text).toEqual(expectedText(prompt, MAX_TOKENS));
      expect(answer.complete).toEqual(true);
      expect(generations() - before).toEqual(1);
    },
  ));

test('engines free the memory of requests whose entry is killed', () =>
  withDeployment({engine: SLOW_ENGINE, services: 0}, async context => {
    const {engines, entries} = context.deployment;
    const answer = await context.callers[0].complete({
      prompt: makePrompt(2_000, 'entry dies'),
      maxTokens: 5_000,
      onToken: atToken(5, () => void entries[0].kill()),
    });
    expect(answer.complete).toEqual(false);
    await waitForFreeEngineMemory(engines);
  }));

test('engines free the memory of a request whose caller disconnects', () =>
  withDeployment({engine: SLOW_ENGINE, services: 0}, async context => {
    const controller = new AbortController();
    await context.callers[0].complete({
      prompt: makePrompt(2_000, 'caller gone'),
      maxTokens: 5_000,
      signal: controller.signal,
      onToken: atToken(5, () => controller.abort()),
    });
    await waitForFreeEngineMemory(context.deployment.engines);
  }));

test('a request that crashes engines is refused after two crashes at most', () =>
  withDeployment(
    {engine: {...SLOW_ENGINE, restartMs: 100}, engines: 6, services: 0},
    async context => {
      const {engines} = context.deployment;
      const crashingPrompt = makePrompt(1_000, '[[crash]]');
      const [first, second] = context.callers;
      const otherRequests = Array.from({length: 8}, (_, i) => {
        const prompt = makePrompt(1_000, `other ${i}`);
        return second
          .complete({prompt, maxTokens: MAX_TOKENS})
          .then(({text}) => text === expectedText(prompt, MAX_TOKENS));
      });
      const answer = await first.complete({prompt: crashingPrompt});
      expect(answer.errorKind).toEqual('suspect-request');
      await waitFor('the other entry refuses the request', async () => {
        const repeated = await second.complete({prompt: crashingPrompt});
        return repeated.errorKind === 'suspect-request';
      });
      const crashes = engines
        .map(engine => Number(engine.load().incarnation) - 1)
        .reduce((sum, n) => sum + n, 0);
      expect(crashes <= 2).toEqual(true);
      expect(await Promise.all(otherRequests)).toEqual(
        otherRequests.map(() => true),
      );
    },
  ));

test('three prompts larger than one engine complete and free all memory', () =>
  withDeployment(
    {
      engine: {prefillRate: 400_000, decodeMs: 5, totalTokens: 60_000},
      services: 0,
    },
    async context => {
      const prompts = ['one', 'two', 'three'].map(name =>
        makePrompt(120_000, name),
      );
      const answers = await Promise.all(
        prompts.map((prompt, i) =>
          context.callers[i % 2].complete({prompt, maxTokens: 4}),
        ),
      );
      answers.forEach(({text, message}, i) =>
        expect(text || message).toEqual(expectedText(prompts[i], 4)),
      );
      const refused = await context.callers[0].complete({
        prompt: makePrompt(400_000, 'too long'),
      });
      expect(refused.errorKind).toEqual('prompt-too-long');
      expect(refused.ran).toEqual('no');
      await waitForFreeEngineMemory(context.deployment.engines);
    },
  ));
