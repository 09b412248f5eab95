import {z} from 'zod';

/** Names of records: letters, digits, dots, dashes; 1 to 63 characters. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits, dots or dashes, starting with a letter or digit',
  );
