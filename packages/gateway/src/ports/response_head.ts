import type {HeaderList} from './header_list.js';

/** Status and headers of a backend server's response, for the caller. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderList;
}
