/** A whole HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
