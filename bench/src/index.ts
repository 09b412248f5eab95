export * from './run_bench.js';
