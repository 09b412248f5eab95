/**
 * Work of one request on one backend server. Gateways send these to each
 * other, so that each can estimate the load of every server.
 */
export interface WorkItem {
  /** Unique for each pair of request attempt and backend server. */
  readonly workId: string;
  readonly serverId: string;
  /** KV cache that the work occupies, in tokens. */
  readonly memoryTokens: number;
  /** Prefill time of this work alone, in milliseconds. */
  readonly prefillMs: number;
  /** Longest pause between events that the caller accepts, in milliseconds. */
  readonly pauseMs: number;
  /** Value of the response, relative to that of a short one. */
  readonly worth: number;
  /** False if this server only prefills a part for another server. */
  readonly decodes: boolean;
  /** Priority level, 0 first; absent from gateways of the former version. */
  readonly level?: number;
  /** Workspace of the request, if its route needs an API key. */
  readonly workspace?: string;
}
