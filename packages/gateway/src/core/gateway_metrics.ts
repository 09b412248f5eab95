import type {createGatewayMetrics} from './create_gateway_metrics.js';

/** Metrics of one gateway. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;
