import type {createMetrics} from './create_metrics.js';

/** Metrics of one node. */
export type Metrics = ReturnType<typeof createMetrics>;
