import type {gatewayFixture} from './gateway_fixture.js';

type Serve = ReturnType<typeof gatewayFixture>['serve'];

/** One request of a caller, and what became of it. */
export interface SimulatedRequest {
  readonly path: string;
  readonly received: ReturnType<Serve>['received'];
}
