import {test} from 'node:test';
import {expect} from 'earl';
import {gatewayFixture} from './gateway_fixture.js';

const UNLIMITED = {rateLimit: {type: 'none'}, askedAt: 0} as const;

const LEAVING = {isLeaving: true, pauseMs: 0, ...UNLIMITED};

function pauseFor(pauseMs: number) {
  return {isLeaving: false, pauseMs, ...UNLIMITED};
}

function setUp(serverIds?: readonly string[]) {
  const fixture = gatewayFixture(serverIds);
  const {fleet, attempts, serve} = fixture;
  const notify = (id: string, notice: typeof LEAVING): void => {
    const server = fleet.find(id);
    if (!server) throw new Error(`${id} is not listed.`);
    fleet.recordNotice(server, notice);
  };
  /** Sends requests that go on running; returns how many each server got. */
  const countsAfter = (requests: number): Record<string, number> => {
    attempts.length = 0;
    Array.from({length: requests}, (_, i) =>
      serve('/read/', {requestId: `r${i}`}),
    );
    const counts: Record<string, number> = {};
    attempts.forEach(({req}) => {
      counts[req.server.id] = (counts[req.server.id] ?? 0) + 1;
    });
    return counts;
  };
  return {...fixture, notify, countsAfter};
}

test('a server that says it leaves gets nothing more and peers are told', () => {
  const {notify, countsAfter, announced, fleet} = setUp();
  notify('a', LEAVING);
  notify('a', LEAVING);
  expect(countsAfter(6)).toEqual({b: 6});
  const told = {type: 'leaving', serverId: 'a', processStartedAt: undefined};
  expect(announced.filter(({type}) => type === 'leaving')).toEqual([
    told as (typeof announced)[number],
  ]);
  expect(fleet.changesForNewPeer()[0]).toEqual(
    told as (typeof announced)[number],
  );
});

test('a server that leaves stays closed although discovery lists it as ready again', () => {
  const {notify, countsAfter, core, fleet} = setUp();
  const server = fleet.find('a');
  notify('a', LEAVING);
  core.setServers([]);
  core.setServers(['a', 'b'].map(id => ({...server!, id})));
  expect(countsAfter(4)).toEqual({b: 4});
});

test('a new process under the id of a server that left gets requests', () => {
  const {notify, countsAfter, core, fleet} = setUp(['a']);
  const server = fleet.find('a');
  notify('a', LEAVING);
  core.setServers([{...server!, processStartedAt: 5}]);
  expect(countsAfter(2)).toEqual({a: 2});
});

test('a server listed as draining stays closed if an older listing says ready', () => {
  const {countsAfter, core, fleet} = setUp();
  const [a, b] = ['a', 'b'].map(id => fleet.find(id)!);
  core.setServers([{...a!, state: 'draining'}, b!]);
  core.setServers([a!, b!]);
  expect(countsAfter(4)).toEqual({b: 4});
});

test('a gateway that is told by a peer sends nothing to a leaving server', () => {
  const {countsAfter, fleet} = setUp();
  fleet.applyRemoteChange({type: 'leaving', serverId: 'a'}, 'peer');
  expect(countsAfter(4)).toEqual({b: 4});
});

test('a retry does not go to a server that left meanwhile', () => {
  const {serve, attempts, notify} = setUp(['a', 'b', 'c']);
  serve('/read/');
  const [first] = attempts;
  const others = ['a', 'b', 'c'].filter(id => id !== first?.req.server.id);
  notify(others[0] ?? '', LEAVING);
  first?.emit({type: 'failed', reason: 'reset'});
  expect(attempts.at(-1)?.req.server.id).toEqual(others[1] ?? '');
});

test('a paused server gets nothing until its pause is over', () => {
  const {notify, countsAfter, clock} = setUp();
  notify('a', pauseFor(1_500));
  clock.now += 1_499;
  expect(countsAfter(4)).toEqual({b: 4});
  clock.now += 1;
  expect(Object.keys(countsAfter(8)).sort()).toEqual(['a', 'b']);
});

test('the share of a paused server is spread over the others', () => {
  const {notify, countsAfter} = setUp(['a', 'b', 'c', 'd', 'e']);
  notify('a', pauseFor(1_500));
  expect(countsAfter(20)).toEqual({b: 5, c: 5, d: 5, e: 5});
});

test('if all servers pause, callers return when the first pause ends', () => {
  const {notify, serve, attempts} = setUp();
  notify('a', pauseFor(3_000));
  notify('b', pauseFor(1_200));
  const {received} = serve('/book/');
  expect(attempts.length).toEqual(0);
  expect(received.failure?.kind).toEqual('no-backend-server');
  expect(received.failure?.ran).toEqual('no');
  expect(received.failure?.retryAfterMs).toEqual(1_200);
});

test('if all servers leave, the refusal says so', () => {
  const {notify, serve} = setUp();
  notify('a', LEAVING);
  notify('b', LEAVING);
  const {received} = serve('/book/');
  expect(received.failure?.message.includes('leaving: 2')).toEqual(true);
});
