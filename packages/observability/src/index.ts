export * from './create_logger.js';
export * from './create_metrics.js';
export * from './create_tracing.js';
export * from './explain/explain_request.js';
export * from './log_fields.js';
export * from './logger.js';
export * from './metrics.js';
export * from './tracing.js';
