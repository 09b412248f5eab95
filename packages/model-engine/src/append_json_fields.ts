const CLOSING_BRACE = 0x7d;

/**
 * Adds fields to a JSON object in bytes without decoding it. Fields that are
 * added override fields of the same name.
 */
export function spliceBody(
  body: Uint8Array,
  fields: Readonly<Record<string, unknown>>,
): Buffer {
  const end = body.lastIndexOf(CLOSING_BRACE);
  if (end < 0) throw new Error('The body is not a JSON object.');
  const added = JSON.stringify(fields).slice(1);
  return Buffer.concat([body.subarray(0, end), Buffer.from(`,${added}`)]);
}
