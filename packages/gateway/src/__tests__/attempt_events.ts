import type {ResponseHead} from '../ports/response_head.js';
import type {gatewayFixture} from './gateway_fixture.js';

type Fixture = Pick<ReturnType<typeof gatewayFixture>, 'attempts'>;

const HEAD: ResponseHead = {status: 200, headers: []};

/** Emits events `firstId` and following at an attempt. */
function emitEvents(
  {attempts}: Fixture,
  attempt: number,
  firstId: number,
  ...texts: readonly string[]
): void {
  attempts[attempt]?.emit({type: 'events', firstId, texts});
}

/** Emits that an attempt was sent and that its stream starts. */
function begin({attempts}: Fixture, attempt: number): void {
  attempts[attempt]?.emit({type: 'sent'});
  attempts[attempt]?.emit({type: 'head', head: HEAD});
}

/** Events of attempts at a gateway fixture's backend servers. */
export const attemptEvents = {HEAD, begin, emitEvents};
