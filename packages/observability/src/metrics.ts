import type {createMetrics} from './create_metrics.js';

/** The metrics of one node and their registry. */
export type Metrics = ReturnType<typeof createMetrics>;
