import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {groupMachine} from '../calls/group_machine.js';
import type {GroupCommand} from '../calls/group_command.js';
import type {GroupEvent} from '../calls/group_event.js';
import {createFailure} from '../errors/create_failure.js';

const OPTIONS = {deadlineAt: 1_000, renewIntervalMs: 100};

function parts(ids: readonly string[]) {
  return ids.map((agentId, i) => ({
    agentId,
    reservedTokens: 10,
    from: i * 10,
    to: i * 10 + 10,
  }));
}

test('reserves all, prefills in order, generates last and releases', () => {
  let {state, commands} = groupMachine.start(parts(['a', 'b']), 0);
  const all: GroupCommand[] = [...commands];
  const events: GroupEvent[] = [
    {type: 'reserved', agentId: 'a'},
    {type: 'reserved', agentId: 'b'},
    {type: 'segment-done', carry: 'c1'},
    {type: 'generation-ended'},
  ];
  events.forEach(event => {
    ({state, commands} = groupMachine.step(state, event, OPTIONS, 0));
    all.push(...commands);
  });
  expect(all.map(({type}) => type)).toEqual([
    'reserve',
    'reserve',
    'prefill',
    'generate',
    'release',
    'release',
  ]);
});

test('every way out releases every engine that was asked', () => {
  const failure = createFailure('backend-lost', 'lost');
  const event: fc.Arbitrary<GroupEvent> = fc.oneof(
    fc.constantFrom('a', 'b', 'c').map(agentId => ({
      type: 'reserved' as const,
      agentId,
    })),
    fc.constant({type: 'segment-done' as const, carry: 'c'}),
    fc.constant({type: 'segment-failed' as const, failure}),
    fc.constant({type: 'link-down' as const, agentId: 'b'}),
    fc.constant({type: 'caller-disconnected' as const}),
    fc.constant({type: 'tick' as const}),
  );
  fc.assert(
    fc.property(fc.array(event, {maxLength: 12}), events => {
      let {state, commands} = groupMachine.start(parts(['a', 'b', 'c']), 0);
      const all: GroupCommand[] = [...commands];
      [...events, {type: 'caller-disconnected'} as const].forEach((next, i) => {
        const now = i * 60;
        ({state, commands} = groupMachine.step(state, next, OPTIONS, now));
        all.push(...commands);
      });
      const asked = (type: string) =>
        new Set(
          all.flatMap(c =>
            c.type === type && 'agentId' in c ? [c.agentId] : [],
          ),
        );
      expect(state.phase).toEqual('ended');
      expect(asked('release')).toEqual(asked('reserve'));
    }),
    {seed: 3, numRuns: 1_000},
  );
});
