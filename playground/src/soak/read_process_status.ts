import {readFileSync} from 'node:fs';

/** What the kernel reports of a process. */
interface ProcessStatus {
  /** Largest resident memory so far, in MB; 0 if it has ended. */
  readonly peakMemoryMb: number;
  /** True if a SIGHUP from now on calls a handler of the program. */
  readonly handlesHangup: boolean;
}

/** Bit of SIGHUP in the masks of signals. */
const SIGHUP_BIT = 1n;

const KB_PER_MB = 1_024;

const NONE: ProcessStatus = {peakMemoryMb: 0, handlesHangup: false};

/** Reads the status of a process of this machine, if it runs. */
export function readProcessStatus(pid: number | undefined): ProcessStatus {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'latin1');
    const [, peakKb = '0'] = /^VmHWM:\s*(\d+)/m.exec(text) ?? [];
    const [, caught = '0'] = /^SigCgt:\s*([0-9a-f]+)/m.exec(text) ?? [];
    return {
      peakMemoryMb: Number(peakKb) / KB_PER_MB,
      handlesHangup: (BigInt(`0x${caught}`) & SIGHUP_BIT) !== 0n,
    };
  } catch {
    return NONE;
  }
}
