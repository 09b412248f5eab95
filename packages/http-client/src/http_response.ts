import type {IncomingHttpHeaders} from 'node:http';

/** An HTTP response with its whole body. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}
