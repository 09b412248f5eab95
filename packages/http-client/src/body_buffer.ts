import {Buffer} from 'node:buffer';

interface BodyBufferOptions {
  /**
   * Bytes to expect, which have been reserved.
   * @default 0
   */
  readonly reservedBytes?: number;
  /**
   * Length of the whole body, so that no more is reserved for it.
   * @default Infinity
   */
  readonly maxBytes?: number;
  /** Reserves more bytes; false if there are not as many left. */
  readonly take: (bytes: number) => boolean;
}

/**
 * Collects a body in one piece of memory, whatever the size of the chunks in
 * which it arrives: an object for each small chunk takes far more than its bytes.
 */
export class BodyBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private bytes = 0;
  private reservedBytes: number;

  constructor(private readonly options: BodyBufferOptions) {
    this.reservedBytes = options.reservedBytes ?? 0;
  }

  /** Adds a chunk; false if there is not enough memory for it. */
  append(chunk: Buffer): boolean {
    const endBytes = this.bytes + chunk.length;
    if (endBytes > this.buffer.length && !this.grow(endBytes, chunk)) {
      return false;
    }
    if (this.buffer !== chunk) chunk.copy(this.buffer, this.bytes);
    this.bytes = endBytes;
    return true;
  }

  whole(): Buffer {
    return this.buffer.subarray(0, this.bytes);
  }

  private grow(endBytes: number, chunk: Buffer): boolean {
    const {maxBytes = Infinity} = this.options;
    const doubled = this.buffer.length * 2;
    const isFirst = this.bytes === 0 && endBytes >= this.reservedBytes;
    const capacity = isFirst
      ? endBytes
      : Math.max(endBytes, this.reservedBytes, Math.min(doubled, maxBytes));
    if (capacity > this.reservedBytes) {
      if (!this.options.take(capacity - this.reservedBytes)) return false;
      this.reservedBytes = capacity;
    }
    if (isFirst) {
      this.buffer = chunk;
      return true;
    }
    const larger = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(larger, 0, 0, this.bytes);
    this.buffer = larger;
    return true;
  }
}
