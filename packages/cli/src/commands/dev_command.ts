import type {Command} from './command.js';

/** Runs a whole deployment with stand-ins in this process. */
export const devCommand: Command = {
  summary: 'run entries, agents and stand-ins in one process',
  usage: '',
  settings: ['httpPort', 'logLevel', 'traceExporter'],
  flags: {
    demo: {
      type: 'boolean',
      help: 'send the demo requests, check the answers and exit',
    },
  },
  run: async ({flags, output}) => {
    const {runDev} = await import('@figfall/playground');
    return runDev({flags, print: output.print});
  },
};
