/** Response of a plain service, as it is sent over a link. */
export interface PlainServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
