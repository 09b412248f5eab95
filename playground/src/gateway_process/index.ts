export * from './open_fifo.js';
export * from './read_at_gateway.js';
export * from './read_metric.js';
export * from './stand_ins.js';
export * from './start_gateway_process.js';
export * from './until_serving.js';
export * from './with_gateway_process.js';
