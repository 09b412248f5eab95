import type {ServerResponse} from 'node:http';

/** Sends a JSON value as the whole response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}
