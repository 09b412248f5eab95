/** Value of the object of a deleted record. */
export const TOMBSTONE = '{"deleted":true}';
