export * from './main.js';
