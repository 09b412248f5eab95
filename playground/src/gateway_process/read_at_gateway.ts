import {Agent} from 'node:http';
import {sendCallerRequest} from '@figfall/gateway-server/testing';
import {SOAK_PORTS} from '../soak/soak_ports.js';

const TIMEOUT_MS = 6_000;

let count = 0;

/** Sends a read to a gateway; returns its status, undefined if none came. */
export async function readAtGateway(host: string): Promise<number | undefined> {
  count += 1;
  const agent = new Agent();
  const {status} = await sendCallerRequest({
    agent,
    address: {host, port: SOAK_PORTS.callers},
    apiKey: 'key-a',
    workspace: 'lindenau',
    requestId: `edge-${process.pid}-${count}`,
    kind: 'read',
    method: 'GET',
    target: '/read/edge',
    body: '',
    promptTokens: 0,
    outputTokens: 0,
    promptParts: '',
    timeoutMs: TIMEOUT_MS,
  });
  agent.destroy();
  return status;
}
