import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {frameCodec} from '../codec/frame_codec.js';
import {LINK} from '../constants.js';

const RUNS = {seed: 14, numRuns: 500};

const FRAME = fc.oneof(
  fc.constant({t: 'ping'} as const),
  fc.string().map(mac => ({t: 'proof' as const, mac})),
  fc
    .tuple(fc.string(), fc.nat())
    .map(([s, c]) => ({t: 'credit' as const, s, c})),
);

test('frames decode identically however their bytes are chunked', () => {
  fc.assert(
    fc.property(
      fc.array(FRAME, {minLength: 1, maxLength: 6}),
      fc.array(fc.nat({max: 400}), {maxLength: 6}),
      (frames, cuts) => {
        const bytes = Buffer.concat(frames.map(frameCodec.encode));
        const ends = [
          ...cuts.map(cut => cut % bytes.length).toSorted((a, b) => a - b),
          bytes.length,
        ];
        const reader = frameCodec.createReader();
        const read = ends.flatMap((end, i) =>
          reader.push(bytes.subarray(ends[i - 1] ?? 0, end)).unwrapOr([]),
        );
        expect(read).toEqual(frames);
      },
    ),
    RUNS,
  );
});

test('decoding arbitrary bytes returns a result and never throws', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({maxLength: 100})), chunks => {
      const reader = frameCodec.createReader();
      chunks.every(chunk => reader.push(Buffer.from(chunk)).isOk());
    }),
    RUNS,
  );
});

test('an oversized frame is rejected on its header alone', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(LINK.MAX_FRAME_BYTES + 1, 0);
  const read = frameCodec.createReader().push(header);
  expect(read.isErr()).toEqual(true);
});
