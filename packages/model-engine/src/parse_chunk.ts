/** A chunk of an OpenAI-style stream; `token_index` is an extension. */
interface StreamChunk {
  readonly token_index?: number;
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: {readonly content?: string};
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: {readonly completion_tokens?: number};
  readonly error?: {readonly message?: string};
}

/** The part of a chunk that matters to the client. */
type ParsedChunk =
  | {readonly type: 'token'; readonly index: number; readonly text: string}
  | {readonly type: 'usage'; readonly count: number}
  | {readonly type: 'error'; readonly message: string}
  | {readonly type: 'other'};

/** Parses a chunk of a completion or chat stream; throws if it is not JSON. */
export function parseChunk(data: string): ParsedChunk {
  const chunk = JSON.parse(data) as StreamChunk;
  if (chunk.error) {
    return {
      type: 'error',
      message: chunk.error.message ?? 'The model engine gave no error message.',
    };
  }
  const [choice] = chunk.choices ?? [];
  const text = choice?.text ?? choice?.delta?.content;
  if (text !== undefined && chunk.token_index !== undefined) {
    return {type: 'token', index: chunk.token_index, text};
  }
  const count = chunk.usage?.completion_tokens;
  return count === undefined ? {type: 'other'} : {type: 'usage', count};
}
