import {createFailure} from '@figfall/decisions';
import type {Failure} from '@figfall/decisions';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {CALLER} from '../constants.js';
import type {RequestMetadata} from './request_metadata.js';
import type {CompletionRequest} from './completion_request.js';

const common = {
  model: z.string().min(1),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(CALLER.MAX_TOKENS_MAX)
    .default(CALLER.MAX_TOKENS),
  stream: z.boolean().default(false),
};

const completionSchema = z.object({
  ...common,
  prompt: z.string().min(1),
});

const chatSchema = z.object({
  ...common,
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
});

function badRequest(message: string): Failure {
  return createFailure('bad-request', message);
}

function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return err(badRequest(`The body is not JSON: ${(error as Error).message}`));
  }
}

function check<Value>(
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

interface Parsed {
  readonly model: string;
  readonly max_tokens: number;
  readonly stream: boolean;
}

/** Parses the body of a completion or a chat completion. */
export function parseCompletion(
  kind: CompletionRequest['kind'],
  metadata: RequestMetadata,
  body: Buffer,
): Result<CompletionRequest, Failure> {
  const build = (parsed: Parsed, prompt: string): CompletionRequest => ({
    metadata,
    kind,
    model: parsed.model,
    prompt,
    promptTokens: Math.ceil(prompt.length / CALLER.CHARS_PER_TOKEN),
    maxTokens: parsed.max_tokens,
    stream: parsed.stream,
    body,
  });
  const json = parseJson(body);
  if (kind === 'completion') {
    return json
      .andThen(value => check(completionSchema, value))
      .map(parsed => build(parsed, parsed.prompt));
  }
  return json
    .andThen(value => check(chatSchema, value))
    .map(parsed => {
      const texts = parsed.messages.map(({content}) => content);
      return build(parsed, texts.join('\n'));
    });
}
