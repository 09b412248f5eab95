/** Lowest and highest status of a response that ends a request (RFC 9110). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * True if a status ends a request. Three digits that are none, such as 000 or 999,
 * are no answer that a caller could do anything with.
 */
export function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && status >= MIN_STATUS && status <= MAX_STATUS;
}
