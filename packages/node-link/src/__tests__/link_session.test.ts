import {test} from 'node:test';
import {expect} from 'earl';
import {frameCodec} from '../codec/frame_codec.js';
import type {LinkFrame} from '../codec/link_frame.js';
import {LINK} from '../constants.js';
import {linkSession} from '../session/link_session.js';
import type {LinkSessionCommand} from '../session/link_session_command.js';
import type {LinkSessionEvent} from '../session/link_session_event.js';

function end(id: string, key = 'k') {
  const options = {
    node: {id, incarnation: 'i', role: 'agent'} as const,
    nonce: `nonce-${id}`,
    sign: (text: string) => `${key}:${text}`,
    isSigned: (text: string, mac: string) => mac === `${key}:${text}`,
    heartbeatMs: 100,
    silenceMs: 300,
    handshakeMs: 200,
  };
  const started = linkSession.start(options, 0);
  let {state} = started;
  return {
    state: () => state,
    hello: started.commands,
    step(event: LinkSessionEvent, now = 0): readonly LinkSessionCommand[] {
      const next = linkSession.step(state, event, options, now);
      state = next.state;
      return next.commands;
    },
  };
}

type End = ReturnType<typeof end>;

function frames(commands: readonly LinkSessionCommand[]): LinkFrame[] {
  return commands.flatMap(c => (c.type === 'write' ? [c.frame] : []));
}

/** Passes frames to an end and returns its commands. */
function pass(to: End, sent: readonly LinkSessionCommand[], now = 0) {
  return frames(sent).flatMap(frame => to.step({type: 'frame', frame}, now));
}

function connect(a: End, b: End) {
  const proofA = pass(a, b.hello);
  const proofB = pass(b, a.hello);
  return [pass(a, proofB), pass(b, proofA)].flat();
}

test('both ends must have the same key', () => {
  const good = connect(end('a'), end('b'));
  expect(good.map(({type}) => type)).toEqual(['up', 'up']);
  const bad = connect(end('a'), end('b', 'other'));
  expect(bad.map(({type}) => type)).toEqual(['close', 'close']);
});

test('another protocol version and data before the proof close the link', () => {
  const hello = frames(end('b').hello)[0];
  const old = {...hello, version: 0} as LinkFrame;
  expect(pass(end('a'), [{type: 'write', frame: old}])[0].type).toEqual(
    'close',
  );
  const data: LinkFrame = {
    t: 'data',
    s: 's',
    q: 0,
    c: 0,
    m: {type: 'alive', callId: 'c'},
  };
  expect(end('a').step({type: 'frame', frame: data})[0].type).toEqual('close');
});

test('a silent link is closed, and pings keep a quiet one', () => {
  const [a, b] = [end('a'), end('b')];
  connect(a, b);
  const pings = a.step({type: 'tick'}, 100);
  pass(a, pass(b, pings, 100), 100);
  expect(a.step({type: 'tick'}, 350)[0].type).toEqual('write');
  expect(a.step({type: 'tick'}, 400)[0].type).toEqual('close');
});

test('a stream sends no more than its window until it gets credit', () => {
  const [a, b] = [end('a'), end('b')];
  connect(a, b);
  const send = (stream: string, cost: number) =>
    a.step({
      type: 'send',
      stream,
      message: {type: 'body', callId: stream, bytes: new Uint8Array(1)},
      cost,
    });
  expect(frames(send('s', LINK.WINDOW_BYTES)).length).toEqual(1);
  expect(frames(send('s', 1_000)).length).toEqual(0);
  expect(frames(send('other', 1_000)).length).toEqual(1);
  const credit = b.step({
    type: 'consumed',
    stream: 's',
    cost: LINK.WINDOW_BYTES,
  });
  expect(frames(pass(a, credit)).length).toEqual(1);
});

test('a doubled or missing data frame closes the link', () => {
  const [a, b] = [end('a'), end('b')];
  connect(a, b);
  const message = {type: 'alive', callId: 'c'} as const;
  const sent = a.step({type: 'send', stream: 's', message, cost: 0});
  expect(pass(b, sent)[0].type).toEqual('deliver');
  expect(pass(b, sent)[0].type).toEqual('close');
});

test('frames survive any cut of the bytes; bad ones are an error', () => {
  const sent: LinkFrame[] = [
    {t: 'ping'},
    {t: 'credit', s: 'x', c: 5},
    {t: 'proof', mac: 'm'.repeat(500)},
  ];
  const bytes = Buffer.concat(sent.map(frame => frameCodec.encode(frame)));
  const reader = frameCodec.createReader();
  const got = [...bytes].flatMap(byte =>
    reader.push(Buffer.from([byte]))._unsafeUnwrap(),
  );
  expect(got).toEqual(sent);
  const garbage = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);
  expect(frameCodec.createReader().push(garbage).isErr()).toEqual(true);
  const huge = Buffer.from([0xff, 0xff, 0xff, 0xff, 0]);
  expect(frameCodec.createReader().push(huge).isErr()).toEqual(true);
});
