/** What may crash servers: whole requests, or parts of prompts. */
type SuspectKind = 'request' | 'part';

/** What a gateway tells the others of requests that may crash servers. */
export type SuspectChange =
  | {
      /** The connection to a server broke off while it ran a request. */
      readonly type: 'server-lost';
      readonly serverId: string;
      /** Start of the server's process as known here, in Unix milliseconds. */
      readonly processStartedAt?: number;
      /** Hash that identifies the request's content. */
      readonly fingerprint: string;
      /** Parts of the prompt that other prompts may share. */
      readonly parts: readonly string[];
      /** Time in milliseconds from sending the request to the loss. */
      readonly heldMs: number;
      /** True if the server had begun to answer. */
      readonly hadEvents: boolean;
      /** Milliseconds since the loss; 0 if absent. */
      readonly ageMs?: number;
    }
  | {
      /** Keys under suspicion are of a request that was answered in full. */
      readonly type: 'suspects-answered';
      readonly kind: SuspectKind;
      readonly keys: readonly string[];
    }
  | {
      /** A gateway wants to make the next trial of a blocked key. */
      readonly type: 'suspect-claimed';
      readonly kind: SuspectKind;
      readonly key: string;
      readonly gatewayId: string;
    }
  | {
      /** A request with a blocked key is sent, to learn if it still crashes. */
      readonly type: 'suspect-tried';
      readonly kind: SuspectKind;
      readonly key: string;
    }
  | {
      /** A key was blocked, just now or before the receiver was linked. */
      readonly type: 'suspect-blocked';
      readonly kind: SuspectKind;
      readonly key: string;
      readonly trials: number;
      /** Milliseconds since the last loss or trial. */
      readonly ageMs: number;
    };
