import {readFileSync} from 'node:fs';

/** Unit of CPU time in `/proc/PID/stat`: USER_HZ, 100 on Linux. */
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;

interface ProcessUsage {
  /** CPU time since the start of the process, in seconds. */
  readonly cpuSeconds: number;
  readonly residentMb: number;
}

/** Reads the CPU time and resident memory of a process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMb: kb / KB_PER_MB,
  };
}
