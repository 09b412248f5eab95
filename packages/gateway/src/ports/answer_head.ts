import type {HeaderList} from './header_list.js';

/** Status and headers of a backend server's answer, for the caller. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
}
