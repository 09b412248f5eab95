/** Reserves memory for bytes that are buffered. */
interface Memory {
  /** Reserves bytes; false if there are not as many left. */
  readonly take: (bytes: number) => boolean;
  readonly giveBack: (bytes: number) => void;
}

/** Largest pending text, in characters. */
const MAX_CHARS = 1_048_576;

/**
 * Pieces in which a text may arrive. Each takes time and memory of its own,
 * however short it is.
 */
const MAX_PIECES = 16_384;

/** Characters for which no memory is reserved. */
const UNRESERVED_CHARS = 4_096;

const UNLIMITED: Memory = {take: () => true, giveBack: () => undefined};

/**
 * Pieces of a line or event that has not ended yet. They are joined once, at its
 * end: joining them at each piece would take time that grows with the square of
 * their number.
 */
export class PendingText {
  private pieces: string[] = [];
  private chars = 0;
  /** Characters that may be buffered before more have to be reserved. */
  private capacity = UNRESERVED_CHARS;

  /** Reserves `memory`, a byte for each character. @default unlimited */
  constructor(private readonly memory: Memory = UNLIMITED) {}

  isEmpty(): boolean {
    return this.chars === 0;
  }

  /** Adds a piece; false if the text is too long or there is no memory for it. */
  append(piece: string): boolean {
    if (piece === '') return true;
    this.pieces.push(piece);
    this.chars += piece.length;
    const isTooLong = this.chars > MAX_CHARS || this.pieces.length > MAX_PIECES;
    return !isTooLong && this.reserve();
  }

  /** Returns the whole text with its last piece, and begins the next one. */
  complete(lastPiece: string): string {
    const text = [...this.pieces, lastPiece].join('');
    this.clear();
    return text;
  }

  /** Drops the pieces and gives their memory back. */
  clear(): void {
    this.memory.giveBack(this.capacity - UNRESERVED_CHARS);
    this.capacity = UNRESERVED_CHARS;
    this.pieces = [];
    this.chars = 0;
  }

  private reserve(): boolean {
    if (this.chars <= this.capacity) return true;
    const capacity = Math.max(this.chars, this.capacity * 2);
    if (!this.memory.take(capacity - this.capacity)) return false;
    this.capacity = capacity;
    return true;
  }
}
