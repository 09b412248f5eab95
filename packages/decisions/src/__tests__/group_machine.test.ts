import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {groupMachine} from '../calls/group_machine.js';
import type {GroupCommand} from '../calls/group_command.js';
import type {GroupEvent} from '../calls/group_event.js';
import {createFailure} from '../errors/create_failure.js';

const OPTIONS = {deadlineAt: 1_000, renewIntervalMs: 100};

function createParts(ids: readonly string[]) {
  return ids.map((agentId, i) => ({
    agentId,
    reservedTokens: 10,
    from: i * 10,
    to: i * 10 + 10,
  }));
}

test('reserves all parts, prefills in order, generates last and releases', () => {
  let {state, commands} = groupMachine.start(createParts(['a', 'b']), 0);
  const allCommands: GroupCommand[] = [...commands];
  const events: GroupEvent[] = [
    {type: 'reserved', agentId: 'a'},
    {type: 'reserved', agentId: 'b'},
    {type: 'segment-done', kvCacheHandle: 'c1'},
    {type: 'generation-ended'},
  ];
  events.forEach(event => {
    ({state, commands} = groupMachine.step(state, event, OPTIONS, 0));
    allCommands.push(...commands);
  });
  expect(allCommands.map(({type}) => type)).toEqual([
    'reserve',
    'reserve',
    'prefill',
    'generate',
    'release',
    'release',
  ]);
});

test('every end releases all requested reservations', () => {
  const failure = createFailure('backend-lost', 'lost');
  const event: fc.Arbitrary<GroupEvent> = fc.oneof(
    fc.constantFrom('a', 'b', 'c').map(agentId => ({
      type: 'reserved' as const,
      agentId,
    })),
    fc.constant({type: 'segment-done' as const, kvCacheHandle: 'c'}),
    fc.constant({type: 'segment-failed' as const, failure}),
    fc.constant({type: 'link-down' as const, agentId: 'b'}),
    fc.constant({type: 'caller-disconnected' as const}),
    fc.constant({type: 'tick' as const}),
  );
  fc.assert(
    fc.property(fc.array(event, {maxLength: 12}), events => {
      let {state, commands} = groupMachine.start(
        createParts(['a', 'b', 'c']),
        0,
      );
      const allCommands: GroupCommand[] = [...commands];
      [...events, {type: 'caller-disconnected'} as const].forEach((next, i) => {
        const now = i * 60;
        ({state, commands} = groupMachine.step(state, next, OPTIONS, now));
        allCommands.push(...commands);
      });
      const agentsOf = (type: string) =>
        new Set(
          allCommands.flatMap(c =>
            c.type === type && 'agentId' in c ? [c.agentId] : [],
          ),
        );
      expect(state.phase).toEqual('ended');
      expect(agentsOf('release')).toEqual(agentsOf('reserve'));
    }),
    {seed: 3, numRuns: 1_000},
  );
});
