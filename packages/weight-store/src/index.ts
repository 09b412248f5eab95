export * from './create_load_permits.js';
