import type {CompletionRequest} from '../requests/completion_request.js';

interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** Builds the response JSON of one kind of request, in the OpenAI format. */
interface ResponseFormat {
  /** One event of a streamed response. */
  readonly chunk: (id: string, model: string, text: string) => object;
  /** A response that is not streamed. */
  readonly whole: (
    id: string,
    model: string,
    text: string,
    usage: Usage,
  ) => object;
}

/** Response formats by kind of request. */
export const RESPONSE_FORMATS: Record<
  CompletionRequest['kind'],
  ResponseFormat
> = {
  completion: {
    chunk: (id, model, text) => ({
      id,
      object: 'text_completion',
      model,
      choices: [{index: 0, text, finish_reason: null}],
    }),
    whole: (id, model, text, usage) => ({
      id,
      object: 'text_completion',
      model,
      choices: [{index: 0, text, finish_reason: 'stop'}],
      usage,
    }),
  },
  chat: {
    chunk: (id, model, text) => ({
      id,
      object: 'chat.completion.chunk',
      model,
      choices: [{index: 0, delta: {content: text}, finish_reason: null}],
    }),
    whole: (id, model, text, usage) => ({
      id,
      object: 'chat.completion',
      model,
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: text},
          finish_reason: 'stop',
        },
      ],
      usage,
    }),
  },
};
