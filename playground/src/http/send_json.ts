import type {ServerResponse} from 'node:http';

/** Answers with a JSON value. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}
