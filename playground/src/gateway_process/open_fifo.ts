import {execFileSync} from 'node:child_process';
import {closeSync, constants, openSync} from 'node:fs';
import {Socket} from 'node:net';

/** A named pipe whose writing end is for a process that is started. */
interface Fifo {
  readonly writer: number;
  /** Closes the reading end, as a reader that goes away. */
  readonly closeReader: () => void;
  /** Reads from now on; returns a function that gives the text read so far. */
  readonly startReading: () => () => string;
  readonly close: () => void;
}

/** Creates a named pipe and opens it at both ends; nobody reads it yet. */
export function openFifo(path: string): Fifo {
  execFileSync('mkfifo', [path]);
  const openReader = () =>
    openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
  const reader = openReader();
  const writer = openSync(path, constants.O_WRONLY);
  const sockets: Socket[] = [];
  return {
    writer,
    closeReader: () => closeSync(reader),
    startReading: () => {
      let text = '';
      const socket = new Socket({fd: openReader(), readable: true});
      socket.on('data', chunk => (text += String(chunk)));
      sockets.push(socket);
      return () => text;
    },
    close: () => {
      sockets.forEach(socket => socket.destroy());
      closeSync(writer);
    },
  };
}
