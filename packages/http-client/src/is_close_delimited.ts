import type {IncomingMessage} from 'node:http';

/** True if only the end of the connection marks the end of the body. */
export function isCloseDelimited({
  headers,
  statusCode,
}: IncomingMessage): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined &&
    statusCode !== 204 &&
    statusCode !== 304
  );
}
