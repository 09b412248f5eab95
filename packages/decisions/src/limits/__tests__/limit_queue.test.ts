import {test} from 'node:test';
import {expect} from 'earl';
import {judgeLimitWait} from '../judge_limit_wait.js';
import {limitQueue} from '../limit_queue.js';

/** Joins requests named by their flow and a number, such as `a1`. */
function queueOf(...ids: readonly string[]) {
  return ids.reduce(
    (queue, id) =>
      limitQueue.join(queue, id, {flow: id[0] ?? '', isResumed: false}, 0),
    limitQueue.empty(),
  );
}

function order(queue: ReturnType<typeof queueOf>): readonly string[] {
  return [...queue.waiting.keys()].sort(
    (a, b) => limitQueue.position(queue, a) - limitQueue.position(queue, b),
  );
}

test('flows take turns, whatever the number of their requests', () => {
  const queue = queueOf('a1', 'a2', 'a3', 'b1', 'b2', 'c1');
  expect(order(queue)).toEqual(['a1', 'b1', 'c1', 'a2', 'b2', 'a3']);
});

test('a flow that was served waits for the turns of the others', () => {
  const served = limitQueue.serve(queueOf('a1', 'a2'), 'a1');
  const joined = limitQueue.join(
    served,
    'b1',
    {flow: 'b', isResumed: false},
    0,
  );
  expect(order(limitQueue.serve(joined, 'a2'))).toEqual(['b1']);
  const later = {flow: 'a', isResumed: false};
  expect(order(limitQueue.join(joined, 'a3', later, 0))).toEqual([
    'b1',
    'a2',
    'a3',
  ]);
});

test('a resumed stream goes before all others', () => {
  const resumed = {flow: 'a', isResumed: true};
  const queue = limitQueue.join(queueOf('a1', 'b1'), 'r', resumed, 0);
  expect(order(queue)).toEqual(['r', 'a1', 'b1']);
});

const WAIT = {
  position: 0,
  permits: 0,
  servers: [{perSecond: 1, othersWaiting: 0, heardAt: 100}],
  joinedAt: 100,
  giveUpAt: 2_000,
  isAdmitted: false,
  isResumed: false,
};

test('a request waits if its turn comes in time, and is refused if not', () => {
  const judge = (change: Partial<typeof WAIT>) =>
    judgeLimitWait({...WAIT, ...change}, 100);
  expect(judge({permits: 1}).type).toEqual('send');
  expect(judge({}).type).toEqual('admit');
  expect(judge({position: 1})).toEqual({type: 'refuse', retryAfterMs: 2_000});
  expect(judge({position: 1, isAdmitted: true}).type).toEqual('wait');
  expect(judge({position: 1, isResumed: true}).type).toEqual('wait');
});

test('the requests of other gateways count, and soonest server decides', () => {
  const [server] = WAIT.servers;
  const busy = {...server!, othersWaiting: 5};
  const judge = (servers: typeof WAIT.servers) =>
    judgeLimitWait({...WAIT, servers}, 100);
  expect(judge([busy])).toEqual({type: 'refuse', retryAfterMs: 6_000});
  expect(judge([busy, server!]).type).toEqual('admit');
});

test('it is judged once an issuer has answered, and refused at last', () => {
  const servers = [{perSecond: 1, othersWaiting: 9, heardAt: -Infinity}];
  const at = (now: number) => judgeLimitWait({...WAIT, servers}, now).type;
  expect([at(100), at(1_999), at(2_000)]).toEqual(['wait', 'wait', 'refuse']);
});

test('a limit of 0 refuses at once', () => {
  const servers = [{perSecond: 0, othersWaiting: 0, heardAt: 100}];
  const verdict = judgeLimitWait({...WAIT, servers}, 100);
  expect(verdict).toEqual({type: 'refuse', retryAfterMs: 5_000});
});
