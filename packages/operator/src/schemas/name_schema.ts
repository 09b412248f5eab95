import {z} from 'zod';

/** Schema of record names and of references to them. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits, dots or dashes, starting with a letter or digit',
  );
