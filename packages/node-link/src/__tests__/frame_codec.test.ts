import {test} from 'node:test';
import {expect} from 'earl';
import {frameCodec} from '../codec/frame_codec.js';
import type {LinkFrame} from '../codec/link_frame.js';

function decodeAll(frames: readonly LinkFrame[]) {
  const reader = frameCodec.createReader();
  const bytes = Buffer.concat(frames.map(frame => frameCodec.encode(frame)));
  return reader.push(bytes).unwrapOr([]);
}

test('frames survive encoding, also a message that goes out several times', () => {
  const message = {type: 'alive', callId: 'c'} as const;
  const other = {type: 'cancel', callId: 'd'} as const;
  const frames: LinkFrame[] = [
    {t: 'ping'},
    {t: 'data', s: 'work', q: 0, c: 0, m: message},
    {t: 'data', s: 'work', q: 70_000, c: 4_000_000_000, m: message},
    {t: 'data', s: 'x'.repeat(300), q: 2, c: 1, m: other},
    {t: 'data', s: 'work', q: 3, c: 0, m: message},
  ];
  expect(decodeAll(frames)).toEqual(frames);
});
