/** The answer of a plain service. */
export interface PlainServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
