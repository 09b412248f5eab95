import {StandIns} from './stand_ins.js';
import {startGatewayProcess} from './start_gateway_process.js';

type StartOptions = Parameters<typeof startGatewayProcess>[0];

/** A gateway process and what is beside it. */
interface Running {
  readonly standIns: StandIns;
  readonly gateway: ReturnType<typeof startGatewayProcess>;
}

/**
 * Runs the built gateway beside stand-ins while `use` runs, then ends all. The
 * process has started when `use` is called, but may not serve yet.
 */
export async function withGatewayProcess<Value>(
  options: Omit<StartOptions, 'settingsPath'>,
  use: (running: Running) => Promise<Value>,
): Promise<Value> {
  const standIns = await StandIns.start();
  const {settingsPath} = standIns;
  const gateway = startGatewayProcess({...options, settingsPath});
  try {
    return await use({standIns, gateway});
  } finally {
    await gateway.kill();
    await standIns.close();
  }
}
