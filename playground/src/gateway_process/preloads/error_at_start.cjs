'use strict';
const process = require('node:process');

process.nextTick(() => {
  throw new Error('planted at the start');
});
