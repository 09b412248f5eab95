export * from './create_model_engine_client.js';
export * from './engine_event.js';
export * from './engine_load.js';
export * from './engine_order.js';
export * from './generate_request.js';
export * from './model_engine_client.js';
export * from './segment_request.js';
