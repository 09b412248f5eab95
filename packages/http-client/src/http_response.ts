/** An HTTP response with its whole body. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
