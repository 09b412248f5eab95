'use strict';
/* global setImmediate, setTimeout */
// At SIGUSR2, raises errors that nothing handles, of each kind, and warnings.
const {EventEmitter} = require('node:events');
const process = require('node:process');

const WARNINGS = 100;

process.on('SIGUSR2', () => {
  setTimeout(() => {
    throw new Error('planted in a timer');
  });
  setImmediate(() => {
    throw undefined;
  });
  process.nextTick(() => {
    throw new Error('planted in a tick');
  });
  void Promise.reject(new Error('planted rejection'));
  setTimeout(() =>
    new EventEmitter().emit('error', new Error('planted event')),
  );
  for (let i = 0; i < WARNINGS; i += 1) process.emitWarning('planted warning');
});
