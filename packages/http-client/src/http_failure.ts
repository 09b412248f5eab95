/**
 * Why an exchange has no response. With `not-sent`, the server has certainly
 * not received the request; with `lost`, it may have processed it.
 */
export interface HttpFailure {
  readonly type: 'not-sent' | 'lost';
  readonly message: string;
}
