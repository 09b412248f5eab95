import type {HeaderList} from './header_list.js';

/** Status and headers of a backend server's response, for the caller. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
  /**
   * True if the body ends only when the connection closes. The caller's body
   * is delimited the same way, as its completeness can't be verified.
   */
  readonly isCloseDelimited: boolean;
}
