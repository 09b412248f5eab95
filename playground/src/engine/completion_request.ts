/** A completion request as the stand-in engine reads it. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly {readonly content: string}[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly request_id?: string;
  readonly priority?: number;
  readonly resume?: {readonly index: number; readonly text: string};
  /** Handle of the segments before this prompt. */
  readonly kv_import?: string;
}
