import {Decoder} from 'cbor-x/decode';
import {Encoder} from 'cbor-x/encode';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {LINK} from '../constants.js';
import type {LinkFrame} from './link_frame.js';

const HEADER_BYTES = 4;

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({useRecords: false});

type DataFrame = Extract<LinkFrame, {readonly t: 'data'}>;

function encodeItem(item: unknown): Buffer {
  return Buffer.from(encoder.encode(item));
}

/** First byte of a CBOR map with five entries. */
const MAP_OF_FIVE = 0xa5;

const DATA_START = Buffer.concat([
  Buffer.from([MAP_OF_FIVE]),
  ...['t', 'data', 's'].map(encodeItem),
]);
const KEY_Q = encodeItem('q');
const KEY_C = encodeItem('c');
const KEY_M = encodeItem('m');

let lastMessage: DataFrame['m'] | undefined;
let lastMessageBytes: Uint8Array = new Uint8Array();

/**
 * Encodes a message. The same message often goes to many links in a row, so
 * the last one is kept.
 */
function encodeMessage(message: DataFrame['m']): Uint8Array {
  if (message !== lastMessage) {
    lastMessageBytes = encodeItem(message);
    lastMessage = message;
  }
  return lastMessageBytes;
}

function encodeDataFrame({s, q, c, m}: DataFrame): Buffer {
  return Buffer.concat([
    DATA_START,
    encoder.encode(s),
    KEY_Q,
    encoder.encode(q),
    KEY_C,
    encoder.encode(c),
    KEY_M,
    encodeMessage(m),
  ]);
}

/** Incremental decoder that splits a byte stream into frames. */
interface FrameReader {
  /** Returns the frames that the chunk completes. */
  readonly push: (chunk: Buffer) => Result<readonly LinkFrame[], Error>;
}

const FRAME_TYPES = ['hello', 'proof', 'ping', 'pong', 'data', 'credit'];

function decodeFrame(bytes: Buffer): LinkFrame {
  const value = decoder.decode(bytes) as LinkFrame | undefined;
  if (typeof value !== 'object' || !FRAME_TYPES.includes(value?.t ?? '')) {
    throw new Error('Received a frame of unknown type.');
  }
  return value as LinkFrame;
}

/** Appends all complete frames to `frames` and returns the remaining bytes. */
function decodeFrames(buffer: Buffer, frames: LinkFrame[]): Buffer {
  let rest = buffer;
  while (rest.length >= HEADER_BYTES) {
    const size = rest.readUInt32BE(0);
    if (size > LINK.MAX_FRAME_BYTES) {
      throw new Error(
        `A frame of ${size} bytes exceeds the limit of ${LINK.MAX_FRAME_BYTES}.`,
      );
    }
    const end = HEADER_BYTES + size;
    if (rest.length < end) return rest;
    frames.push(decodeFrame(rest.subarray(HEADER_BYTES, end)));
    rest = rest.subarray(end);
  }
  return rest;
}

/** Frame codec: a 4-byte big-endian length followed by a CBOR item. */
export const frameCodec = {
  encode(frame: LinkFrame): Buffer {
    const body =
      frame.t === 'data' ? encodeDataFrame(frame) : encoder.encode(frame);
    const framed = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    framed.writeUInt32BE(body.length, 0);
    body.copy(framed, HEADER_BYTES);
    return framed;
  },

  /** Creates a reader. After an error its link must be closed. */
  createReader(): FrameReader {
    let chunks: Buffer[] = [];
    let bufferedBytes = 0;
    let requiredBytes = HEADER_BYTES;
    return {
      push: chunk => {
        chunks.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes < requiredBytes) return ok([]);
        try {
          const frames: LinkFrame[] = [];
          const buffer = chunks.length === 1 ? chunk : Buffer.concat(chunks);
          const rest = decodeFrames(buffer, frames);
          chunks = rest.length > 0 ? [rest] : [];
          bufferedBytes = rest.length;
          requiredBytes =
            rest.length >= HEADER_BYTES
              ? HEADER_BYTES + rest.readUInt32BE(0)
              : HEADER_BYTES;
          return ok(frames);
        } catch (error) {
          return err(error as Error);
        }
      },
    };
  },
};
