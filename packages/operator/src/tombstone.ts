/** Object value that marks a deleted record; kept so that replicas learn of it. */
export const TOMBSTONE = '{"deleted":true}';
