export * from './create_weight_permits.js';
