import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {CALLER_API} from '../constants.js';
import type {CompletionRequest} from './completion_request.js';
import type {RequestMetadata} from './request_metadata.js';

const commonFields = {
  model: z.string().min(1),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(CALLER_API.MAX_COMPLETION_TOKENS)
    .default(CALLER_API.DEFAULT_COMPLETION_TOKENS),
  stream: z.boolean().default(false),
};

const completionSchema = z.object({
  ...commonFields,
  prompt: z.string().min(1),
});

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
});

function badRequest(message: string): Failure {
  return createFailure('bad-request', message);
}

function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return err(
      badRequest(`The body is not valid JSON: ${(error as Error).message}`),
    );
  }
}

function validate<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): Result<Value, Failure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issues = parsed.error.issues.map(
    ({path, message}) => `${path.join('.') || '(body)'}: ${message}`,
  );
  return err(badRequest(`The body is not valid. ${issues.join('; ')}`));
}

interface CompletionBody {
  readonly model: string;
  readonly max_tokens: number;
  readonly stream: boolean;
}

/** Parses and validates the body of a completion or a chat completion. */
export function parseCompletion(
  kind: CompletionRequest['kind'],
  metadata: RequestMetadata,
  body: Buffer,
): Result<CompletionRequest, Failure> {
  const build = (
    parsed: CompletionBody,
    prompt: string,
  ): CompletionRequest => ({
    metadata,
    kind,
    model: parsed.model,
    prompt,
    promptTokens: Math.ceil(prompt.length / CALLER_API.CHARS_PER_TOKEN),
    maxTokens: parsed.max_tokens,
    stream: parsed.stream,
    body,
  });
  const json = parseJson(body);
  if (kind === 'completion') {
    return json
      .andThen(value => validate(completionSchema, value))
      .map(parsed => build(parsed, parsed.prompt));
  }
  return json
    .andThen(value => validate(chatSchema, value))
    .map(parsed => {
      const contents = parsed.messages.map(({content}) => content);
      return build(parsed, contents.join('\n'));
    });
}
