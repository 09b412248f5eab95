import {Decoder} from 'cbor-x/decode';
import {Encoder} from 'cbor-x/encode';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {LINK} from '../constants.js';
import type {LinkFrame} from './link_frame.js';

const HEADER_BYTES = 4;

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({useRecords: false});

/** Splits a byte stream into frames. */
interface FrameReader {
  readonly push: (chunk: Buffer) => Result<readonly LinkFrame[], Error>;
}

const FRAME_TYPES = ['hello', 'proof', 'ping', 'pong', 'data', 'credit'];

function decodeFrame(bytes: Buffer): LinkFrame {
  const value = decoder.decode(bytes) as LinkFrame | undefined;
  if (typeof value !== 'object' || !FRAME_TYPES.includes(value?.t ?? '')) {
    throw new Error('The frame has no known type.');
  }
  return value as LinkFrame;
}

function takeFrames(buffer: Buffer, frames: LinkFrame[]): Buffer {
  let rest = buffer;
  while (rest.length >= HEADER_BYTES) {
    const size = rest.readUInt32BE(0);
    if (size > LINK.FRAME_BYTES_MAX) {
      throw new Error(
        `A frame of ${size} bytes is over the bound of ${LINK.FRAME_BYTES_MAX}.`,
      );
    }
    const end = HEADER_BYTES + size;
    if (rest.length < end) return rest;
    frames.push(decodeFrame(rest.subarray(HEADER_BYTES, end)));
    rest = rest.subarray(end);
  }
  return rest;
}

/** Frames as a 4-byte big-endian length and a CBOR item. */
export const frameCodec = {
  encode(frame: LinkFrame): Buffer {
    const body = encoder.encode(frame);
    const framed = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    framed.writeUInt32BE(body.length, 0);
    body.copy(framed, HEADER_BYTES);
    return framed;
  },

  /** Creates a reader; an error means that the link must be closed. */
  createReader(): FrameReader {
    let parts: Buffer[] = [];
    let size = 0;
    let needed = HEADER_BYTES;
    return {
      push: chunk => {
        parts.push(chunk);
        size += chunk.length;
        if (size < needed) return ok([]);
        try {
          const frames: LinkFrame[] = [];
          const whole = parts.length === 1 ? chunk : Buffer.concat(parts);
          const rest = takeFrames(whole, frames);
          parts = rest.length > 0 ? [rest] : [];
          size = rest.length;
          needed =
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
