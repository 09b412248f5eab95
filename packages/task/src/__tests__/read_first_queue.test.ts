import {test} from 'node:test';
import {expect} from 'earl';
import {ReadFirstQueue} from '../read_first_queue.js';

/** Turns of an event loop whose polls a test plays. */
function simulatedLoop() {
  const clock = {now: 0};
  let actions: (() => void)[] = [];
  const queue = new ReadFirstQueue({
    now: () => clock.now,
    afterPoll: action => actions.push(action),
  });
  const started: string[] = [];
  return {
    clock,
    queue,
    started,
    add: (id: string, costMs = 0) =>
      queue.add(() => {
        started.push(id);
        clock.now += costMs;
      }),
    /** Ends a poll: runs what waits for it. */
    endPoll: () => {
      const due = actions;
      actions = [];
      due.forEach(action => action());
    },
    isIdle: () => actions.length === 0,
  };
}

test('a request is started after one more poll, and then the loop is idle', () => {
  const {add, started, endPoll, isIdle} = simulatedLoop();
  add('r1');
  endPoll();
  expect(started).toEqual([]);
  endPoll();
  expect(started).toEqual(['r1']);
  expect(isIdle()).toEqual(true);
});

test('a request that is taken out before its turn is not started', () => {
  const {add, started, endPoll, isIdle} = simulatedLoop();
  const takeOut = add('r1');
  endPoll();
  takeOut();
  endPoll();
  expect(started).toEqual([]);
  expect(isIdle()).toEqual(true);
});

test('requests that come in each turn are started in order, one turn later', () => {
  const {add, started, endPoll} = simulatedLoop();
  [1, 2, 3].forEach(i => {
    add(`r${i}`);
    endPoll();
  });
  expect(started).toEqual(['r1', 'r2']);
  endPoll();
  expect(started).toEqual(['r1', 'r2', 'r3']);
});

test('after a standstill there is another poll before the starts', () => {
  const {add, clock, started, endPoll} = simulatedLoop();
  add('r1');
  endPoll();
  clock.now += 1_500;
  endPoll();
  expect(started).toEqual([]);
  endPoll();
  expect(started).toEqual(['r1']);
});

test('a loop whose turns are all long starts requests nevertheless', () => {
  const {add, clock, started, endPoll} = simulatedLoop();
  add('r1');
  [1, 2, 3, 4].forEach(() => {
    clock.now += 300;
    endPoll();
  });
  expect(started).toEqual(['r1']);
});

test('starts that take long leave room for a poll between them, in order', () => {
  const {add, started, endPoll} = simulatedLoop();
  ['r1', 'r2', 'r3', 'r4'].forEach(id => add(id, 15));
  endPoll();
  endPoll();
  expect(started).toEqual(['r1', 'r2']);
  endPoll();
  expect(started).toEqual(['r1', 'r2', 'r3', 'r4']);
});

test('all requests are started at once where the process stops', () => {
  const {add, queue, started, endPoll} = simulatedLoop();
  ['r1', 'r2', 'r3'].forEach(id => add(id, 50));
  queue.flush();
  endPoll();
  expect(started).toEqual(['r1', 'r2', 'r3']);
});

test('a start that throws holds up no other', () => {
  const {add, queue, started, endPoll} = simulatedLoop();
  queue.add(() => {
    throw new Error('a start that fails in a test');
  });
  add('r2');
  endPoll();
  endPoll();
  expect(started).toEqual(['r2']);
});
