/** Whether a request ran on a backend server. */
export type RanState = 'no' | 'unknown' | 'yes';
