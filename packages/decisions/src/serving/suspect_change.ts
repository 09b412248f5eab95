/** What a gateway tells the others of prompts that may crash servers. */
export type SuspectChange =
  | {
      /** A backend server closed the connection while it ran a request. */
      readonly type: 'broke';
      /** Hash that identifies the request's content. */
      readonly fingerprint: string;
      readonly serverId: string;
      /** Time in milliseconds from sending the request to the disconnect. */
      readonly heldMs: number;
    }
  | {
      /** A request that ended in a disconnect before was answered. */
      readonly type: 'answered';
      readonly fingerprint: string;
    }
  | {
      /** A server was lost that had not begun to answer a prompt. */
      readonly type: 'server-lost';
      /** Identifies the process of the server. */
      readonly serverId: string;
      /** Parts of the prompt that other prompts may share. */
      readonly parts: readonly string[];
      /** Time in milliseconds from sending the prompt to the loss. */
      readonly heldMs: number;
    }
  | {
      /** Parts under suspicion are in a prompt that was answered lately. */
      readonly type: 'parts-answered';
      readonly parts: readonly string[];
    }
  | {
      /** A prompt with a blocked part is sent, to learn if it still crashes. */
      readonly type: 'part-tried';
      readonly part: string;
    }
  | {
      /** A part was blocked, just now or before the receiver was linked. */
      readonly type: 'part-blocked';
      readonly part: string;
      readonly trials: number;
      /** Milliseconds since the last loss or trial. */
      readonly ageMs: number;
    };
