import type {IncomingMessage} from 'node:http';

/** Reads the whole body of a request into memory; rejects if it is aborted. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
