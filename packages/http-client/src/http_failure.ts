/**
 * Why an exchange has no answer. `not-sent` proves that the server never saw
 * the request; `lost` leaves open whether it acted on it.
 */
export interface HttpFailure {
  readonly type: 'not-sent' | 'lost';
  readonly message: string;
}
