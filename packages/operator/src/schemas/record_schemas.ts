import {z} from 'zod';
import type {RecordDataByKind} from '../record_data_by_kind.js';
import type {RecordKind} from '../record_kind.js';
import {nameSchema} from './name_schema.js';

const count = z.number().int().min(1);
const serviceState = z.enum(['in', 'out']);
const workspaces = z.array(z.union([z.literal('*'), nameSchema])).min(1);
const sha256 = z
  .string()
  .regex(
    /^[0-9a-f]{64}$/,
    'must be a SHA-256 hash as 64 lower-case hex digits',
  );

const workspaceV1 = z
  .strictObject({
    kind: z.literal('workspace'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    tokenHash: sha256,
    weight: z.number().positive().default(1),
  })
  .transform(({name, tokenHash, weight}) => ({
    name,
    tokenHashes: [tokenHash],
    weight,
  }));

const workspaceV2 = z
  .strictObject({
    kind: z.literal('workspace'),
    schemaVersion: z.literal(2),
    name: nameSchema,
    tokenHashes: z.array(sha256).min(1),
    weight: z.number().positive().default(1),
    limits: z
      .strictObject({
        maxRunning: count.optional(),
        tokensPerSecond: count.optional(),
      })
      .default({}),
  })
  .transform(({name, tokenHashes, weight, limits}) => ({
    name,
    tokenHashes,
    weight,
    ...limits,
  }));

const modelV1 = z
  .strictObject({
    kind: z.literal('model'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    version: nameSchema,
    weights: z.string().min(1),
  })
  .transform(({name, version, weights}) => ({name, version, weights}));

const adapterV1 = z
  .strictObject({
    kind: z.literal('adapter'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    model: nameSchema,
    version: nameSchema,
    weights: z.string().min(1),
  })
  .transform(({name, model, version, weights}) => ({
    name,
    model,
    version,
    weights,
  }));

const placementV1 = z
  .strictObject({
    kind: z.literal('placement'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    model: nameSchema,
    version: nameSchema,
    adapter: nameSchema.optional(),
    replicas: count,
    workspaces,
  })
  .transform(record => ({
    name: record.name,
    model: record.model,
    version: record.version,
    adapter: record.adapter,
    replicas: record.replicas,
    workspaces: record.workspaces,
  }));

const serviceV1 = z
  .strictObject({
    kind: z.literal('service'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    idempotentMethods: z
      .array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']))
      .default(['GET', 'HEAD']),
    workspaces,
  })
  .transform(({name, idempotentMethods, workspaces: allowed}) => ({
    name,
    idempotentMethods,
    workspaces: allowed,
  }));

const availabilityZoneV1 = z
  .strictObject({
    kind: z.literal('availability-zone'),
    schemaVersion: z.literal(1),
    name: nameSchema,
    state: serviceState,
    since: z.string().optional(),
    maxRunning: count.optional(),
  })
  .transform(({name, state, since, maxRunning}) => ({
    name,
    state,
    since,
    maxRunning,
  }));

const backendServerCommon = {
  kind: z.literal('backend-server'),
  name: nameSchema,
  server: z.enum(['model-engine', 'plain-service']),
  state: serviceState,
  since: z.string().optional(),
  service: nameSchema.optional(),
  checksFencing: z.boolean().default(false),
};

const DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000;

const backendServerV1 = z
  .strictObject({
    ...backendServerCommon,
    schemaVersion: z.literal(1),
    capacity: count,
    coldCapacity: count,
  })
  .transform(({server, state, ...record}) => ({
    name: record.name,
    kind: server,
    state,
    since: record.since,
    service: record.service,
    running: record.capacity,
    coldRunning: record.coldCapacity,
    prefillTokensPerSecond: DEFAULT_PREFILL_TOKENS_PER_SECOND,
    modelSlots: 1,
    checksFencing: record.checksFencing,
  }));

const backendServerV2 = z
  .strictObject({
    ...backendServerCommon,
    schemaVersion: z.literal(2),
    limits: z.strictObject({
      running: count,
      coldRunning: count,
      prefillTokensPerSecond: count.default(DEFAULT_PREFILL_TOKENS_PER_SECOND),
      modelSlots: count.default(1),
    }),
  })
  .transform(({server, state, limits, ...record}) => ({
    name: record.name,
    kind: server,
    state,
    since: record.since,
    service: record.service,
    ...limits,
    checksFencing: record.checksFencing,
  }));

type SchemaTable = {
  readonly [Kind in RecordKind]: Readonly<
    Record<number, z.ZodType<RecordDataByKind[Kind]>>
  >;
};

/** Record schemas by kind and schema version. */
export const RECORD_SCHEMAS: SchemaTable = {
  workspace: {1: workspaceV1, 2: workspaceV2},
  model: {1: modelV1},
  adapter: {1: adapterV1},
  placement: {1: placementV1},
  service: {1: serviceV1},
  'availability-zone': {1: availabilityZoneV1},
  'backend-server': {1: backendServerV1, 2: backendServerV2},
};
