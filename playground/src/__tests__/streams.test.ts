import {test} from 'node:test';
import {expect} from 'earl';
import {expectedText} from '../caller/expected_text.js';
import {makePrompt} from '../caller/make_prompt.js';
import {waitFor} from '../deployment/wait_for.js';
import {engineMemoryIsFree} from './engine_memory.js';
import {withDeployment} from './with_deployment.js';

const SLOW = {decodeMs: 25, prefillRate: 400_000};
const TOKENS = 60;

/** Runs a fault once some tokens of a stream have come. */
function atToken(count: number, fault: () => void) {
  return (seen: number) => {
    if (seen === count) fault();
  };
}

test('an engine that crashes in the middle costs the caller nothing', () =>
  withDeployment({engine: SLOW, services: 0}, async subject => {
    const {engines} = subject.deployment;
    const prompt = makePrompt(2_000, 'crash in the middle');
    const answer = await subject.callers[0].complete({
      prompt,
      maxTokens: TOKENS,
      onToken: atToken(10, () =>
        engines.filter(e => e.load().running > 0).forEach(e => e.crash()),
      ),
    });
    expect(answer.text).toEqual(expectedText(prompt, TOKENS));
    expect(answer.complete).toEqual(true);
    await engineMemoryIsFree(engines);
  }));

test('an agent that dies in the middle costs the caller nothing', () =>
  withDeployment({engine: SLOW, services: 0}, async subject => {
    const {engines, agents} = subject.deployment;
    const prompt = makePrompt(2_000, 'agent dies');
    const busy = () => engines.findIndex(e => e.load().running > 0);
    let killed = -1;
    const answer = await subject.callers[0].complete({
      prompt,
      maxTokens: TOKENS,
      onToken: atToken(10, () => {
        killed = busy();
        void agents[killed].kill();
      }),
    });
    expect(answer.text).toEqual(expectedText(prompt, TOKENS));
    expect(answer.complete).toEqual(true);
    await agents[killed].start();
    await engineMemoryIsFree(engines);
  }));

test('connections that go silent for good cost the caller nothing', () =>
  withDeployment({engine: SLOW, services: 0, relays: true}, async subject => {
    const {agents, engines} = subject.deployment;
    const generations = () =>
      engines.reduce((sum, {counts}) => sum + counts.generations, 0);
    const prompt = makePrompt(2_000, 'silent');
    const before = generations();
    const answer = await subject.callers[0].complete({
      prompt,
      maxTokens: TOKENS,
      onToken: atToken(10, () =>
        agents.forEach(a => a.relay?.stallConnections()),
      ),
    });
    expect(answer.text).toEqual(expectedText(prompt, TOKENS));
    expect(answer.complete).toEqual(true);
    expect(generations() - before).toEqual(1);
  }));

test('an entry that dies leaves no work on the engines', () =>
  withDeployment({engine: SLOW, services: 0}, async subject => {
    const {engines, entries} = subject.deployment;
    const answer = await subject.callers[0].complete({
      prompt: makePrompt(2_000, 'entry dies'),
      maxTokens: 5_000,
      onToken: atToken(5, () => void entries[0].kill()),
    });
    expect(answer.complete).toEqual(false);
    await engineMemoryIsFree(engines);
  }));

test('a caller that goes away leaves no work on the engines', () =>
  withDeployment({engine: SLOW, services: 0}, async subject => {
    const gone = new AbortController();
    await subject.callers[0].complete({
      prompt: makePrompt(2_000, 'caller gone'),
      maxTokens: 5_000,
      signal: gone.signal,
      onToken: atToken(5, () => gone.abort()),
    });
    await engineMemoryIsFree(subject.deployment.engines);
  }));

test('a request that crashes every engine takes down two at most', () =>
  withDeployment(
    {engine: {...SLOW, restartMs: 100}, engines: 6, services: 0},
    async subject => {
      const {engines} = subject.deployment;
      const poison = makePrompt(1_000, '[[crash]]');
      const [first, second] = subject.callers;
      const others = Array.from({length: 8}, (_, i) => {
        const prompt = makePrompt(1_000, `other ${i}`);
        return second
          .complete({prompt, maxTokens: TOKENS})
          .then(({text}) => text === expectedText(prompt, TOKENS));
      });
      const answer = await first.complete({prompt: poison});
      expect(answer.errorKind).toEqual('suspect-request');
      await waitFor('the other entry refuses it too', async () => {
        const again = await second.complete({prompt: poison});
        return again.errorKind === 'suspect-request';
      });
      const crashes = engines
        .map(engine => Number(engine.load().incarnation) - 1)
        .reduce((sum, n) => sum + n, 0);
      expect(crashes <= 2).toEqual(true);
      expect(await Promise.all(others)).toEqual(others.map(() => true));
    },
  ));

test('two prompts beyond one engine take turns and free all memory', () =>
  withDeployment(
    {
      engine: {prefillRate: 400_000, decodeMs: 5, totalTokens: 60_000},
      services: 0,
    },
    async subject => {
      const prompts = ['one', 'two', 'three'].map(name =>
        makePrompt(120_000, name),
      );
      const answers = await Promise.all(
        prompts.map((prompt, i) =>
          subject.callers[i % 2].complete({prompt, maxTokens: 4}),
        ),
      );
      answers.forEach(({text, message}, i) =>
        expect(text || message).toEqual(expectedText(prompts[i], 4)),
      );
      const refused = await subject.callers[0].complete({
        prompt: makePrompt(400_000, 'too long'),
      });
      expect(refused.errorKind).toEqual('prompt-too-long');
      expect(refused.ran).toEqual('no');
      await engineMemoryIsFree(subject.deployment.engines);
    },
  ));
