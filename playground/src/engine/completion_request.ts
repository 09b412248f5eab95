/** Body of a completion request, as the fake engine parses it. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly {readonly content: string}[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  /** The engine generates an id if this is missing. */
  readonly request_id?: string;
  /** 0 goes first. */
  readonly priority?: number;
  /** Index of the first token to generate, and the text before it. */
  readonly resume?: {readonly index: number; readonly text: string};
  /** Handle of the prefilled segments that precede this prompt. */
  readonly kv_import?: string;
}
