import {createHash} from 'node:crypto';
import {demoToken} from './demo_token.js';
import type {ResolvedDeploymentOptions} from './resolved_deployment_options.js';

/** A configuration record as operators write it, not yet decoded. */
type RawRecord = Readonly<Record<string, unknown>>;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function zoneRecords({zones}: ResolvedDeploymentOptions): RawRecord[] {
  return zones.map(name => ({
    kind: 'availability-zone',
    schemaVersion: 1,
    name,
    state: 'in',
  }));
}

function workspaceRecords({
  workspaces,
}: ResolvedDeploymentOptions): RawRecord[] {
  return workspaces.map(name => ({
    kind: 'workspace',
    schemaVersion: 2,
    name,
    tokenHashes: [sha256(demoToken(name))],
    weight: 1,
  }));
}

function engineRecords(options: ResolvedDeploymentOptions): RawRecord[] {
  const {engines, running, coldRunning, engine} = options;
  return Array.from({length: engines}, (_, i) => ({
    kind: 'backend-server',
    schemaVersion: 2,
    name: `engine-${i + 1}`,
    server: 'model-engine',
    state: 'in',
    checksFencing: engine.checksFencing ?? true,
    limits: {
      running,
      coldRunning,
      prefillTokensPerSecond: engine.prefillRate ?? 50_000,
      modelSlots: 1,
    },
  }));
}

/** Uses schema version 1, which remains valid. */
function serviceServerRecords({
  services,
}: ResolvedDeploymentOptions): RawRecord[] {
  return Array.from({length: services}, (_, i) => ({
    kind: 'backend-server',
    schemaVersion: 1,
    name: `booking-${i + 1}`,
    server: 'plain-service',
    service: 'booking',
    state: 'in',
    capacity: 64,
    coldCapacity: 64,
  }));
}

/** Returns the configuration records of a playground deployment. */
export function buildDeploymentRecords(
  options: ResolvedDeploymentOptions,
): RawRecord[] {
  const allWorkspaces = ['*'];
  return [
    ...zoneRecords(options),
    ...workspaceRecords(options),
    {
      kind: 'model',
      schemaVersion: 1,
      name: 'log-summary',
      version: '1',
      weights: options.weights,
    },
    {
      kind: 'placement',
      schemaVersion: 1,
      name: 'log-summary',
      model: 'log-summary',
      version: '1',
      replicas: Math.max(1, options.engines),
      workspaces: allWorkspaces,
    },
    {
      kind: 'service',
      schemaVersion: 1,
      name: 'booking',
      workspaces: allWorkspaces,
    },
    ...engineRecords(options),
    ...serviceServerRecords(options),
  ];
}
