/** A chunk of an OpenAI-style stream. */
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

/** What a chunk of an engine's stream says. */
type ChunkMeaning =
  | {readonly type: 'token'; readonly index: number; readonly text: string}
  | {readonly type: 'usage'; readonly count: number}
  | {readonly type: 'error'; readonly message: string}
  | {readonly type: 'nothing'};

/** Reads one chunk of an OpenAI-style completion or chat stream. */
export function readChunk(data: string): ChunkMeaning {
  const chunk = JSON.parse(data) as StreamChunk;
  if (chunk.error) {
    return {type: 'error', message: chunk.error.message ?? 'no reason given'};
  }
  const [choice] = chunk.choices ?? [];
  const text = choice?.text ?? choice?.delta?.content;
  if (text !== undefined && chunk.token_index !== undefined) {
    return {type: 'token', index: chunk.token_index, text};
  }
  const count = chunk.usage?.completion_tokens;
  return count === undefined ? {type: 'nothing'} : {type: 'usage', count};
}
