import type {HeaderList} from './header_list.js';

/** Status and headers of a backend server's answer, for the caller. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
  /**
   * True where only the end of the connection ends the body. The caller gets
   * it the same way, since nobody can tell whether it is whole.
   */
  readonly isCloseDelimited: boolean;
}
