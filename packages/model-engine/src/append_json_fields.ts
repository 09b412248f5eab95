const CLOSING_BRACE = 0x7d;

/**
 * Appends fields to a serialized JSON object without parsing it. They override
 * fields of the same name, because JSON parsers use the last duplicate.
 */
export function appendJsonFields(
  body: Uint8Array,
  fields: Readonly<Record<string, unknown>>,
): Buffer {
  const end = body.lastIndexOf(CLOSING_BRACE);
  if (end < 0) throw new Error('The body is not a JSON object.');
  const appended = JSON.stringify(fields).slice(1);
  return Buffer.concat([body.subarray(0, end), Buffer.from(`,${appended}`)]);
}
