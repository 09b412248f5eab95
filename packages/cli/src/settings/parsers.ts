import {readFileSync} from 'node:fs';
import {isIP} from 'node:net';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

type Parser<Value> = (text: string) => Result<Value, string>;

function validate<Value>(
  isValid: boolean,
  value: Value,
  allowed: string,
): Result<Value, string> {
  return isValid ? ok(value) : err(allowed);
}

/** Parsers of settings. Errors continue a sentence such as `--zone is "x"; it`. */
export const PARSERS = {
  name: (text: string) =>
    validate(
      /^[a-z0-9][a-z0-9.-]{0,62}$/.test(text),
      text,
      'must be 1 to 63 lower-case letters, digits, dots or dashes',
    ),

  url: (text: string) =>
    validate(
      /^http:\/\/[^/]+$/.test(text) && URL.canParse(text),
      text,
      'must be a URL such as http://127.0.0.1:7000, without a path',
    ),

  otlpUrl: (text: string) =>
    validate(URL.canParse(text), text, 'must be a URL with its path'),

  address: (text: string) =>
    validate(isIP(text) !== 0, text, 'must be an IP address'),

  secret: (text: string) =>
    validate(text.length >= 16, text, 'must have 16 characters or more'),

  /** Whole number from `min` to `max`, in decimal digits. */
  integer:
    (min: number, max: number): Parser<number> =>
    text => {
      const value = Number(text);
      const isValid = /^\d+$/.test(text) && value >= min && value <= max;
      return validate(
        isValid,
        value,
        `must be a whole number from ${min} to ${max}`,
      );
    },

  oneOf:
    <Value extends string>(...values: readonly Value[]): Parser<Value> =>
    text =>
      validate(
        values.includes(text as Value),
        text as Value,
        `must be one of ${values.join(', ')}`,
      ),

  /** PEM text, or `@` and the path of a file that contains it. */
  pem: (text: string): Result<string, string> => {
    try {
      const pem = text.startsWith('@')
        ? readFileSync(text.slice(1), 'utf8')
        : text;
      return validate(
        pem.includes('-----BEGIN '),
        pem,
        'must be PEM text, or @ and the path of a PEM file',
      );
    } catch (error) {
      return err(`could not be read: ${(error as Error).message}`);
    }
  },
};
