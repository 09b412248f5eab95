/** The prompts have 18 parts; the crashing one is the 17th. */
import process from 'node:process';
import {runCase} from '../lib-3/case.mjs';
import {playCrashingPart} from '../lib-3/crashing_part.mjs';

await runCase(import.meta.url, play =>
  playCrashingPart(play, {
    subnet: '127.0.13',
    parts: Number(process.env.PARTS ?? 18),
    burst: 1,
    badIntervalMs: 1_000,
    durationMs: 30_000,
  }),
);
