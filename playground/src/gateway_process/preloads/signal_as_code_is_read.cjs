'use strict';
// Sends signals to its own process as a large file of code is read.
const fs = require('node:fs');
const process = require('node:process');

const LARGE_BYTES = 100_000;
const {readFileSync} = fs;

fs.readFileSync = (path, ...options) => {
  const isLarge = /\.cjs$/.test(path) && fs.statSync(path).size > LARGE_BYTES;
  const signals = isLarge ? process.env.SIGNALS.split(' ') : [];
  signals.forEach(signal => process.kill(process.pid, signal));
  return readFileSync(path, ...options);
};
