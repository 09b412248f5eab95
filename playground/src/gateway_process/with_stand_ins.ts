import {StandIns} from './stand_ins.js';
import {startGatewayProcess} from './start_gateway_process.js';

type StartedGateway = ReturnType<typeof startGatewayProcess>;

/** Stand-ins beside which a test starts gateways when it wants to. */
interface Ready {
  readonly standIns: StandIns;
  /** Starts a gateway with the settings file as it is. */
  readonly start: () => StartedGateway;
}

/** Runs `use` beside stand-ins, and ends all gateways that it has started. */
export async function withStandIns<Value>(
  use: (ready: Ready) => Promise<Value>,
): Promise<Value> {
  const standIns = await StandIns.start();
  const {settingsPath} = standIns;
  const gateways: StartedGateway[] = [];
  const start = (): StartedGateway => {
    const gateway = startGatewayProcess({settingsPath});
    gateways.push(gateway);
    return gateway;
  };
  try {
    return await use({standIns, start});
  } finally {
    await Promise.all(gateways.map(gateway => gateway.kill()));
    await standIns.close();
  }
}
