import type {
  AgentReport,
  ConfigDigest,
  ConfigEntry,
  Failure,
  PermitMessage,
  WorkChange,
  WorkSection,
} from '@figfall/decisions';
import type {OpenCall} from './open_call.js';
import type {PlainServiceResponse} from './plain_service_response.js';

/** A message between figfall processes. */
export type PeerMessage =
  | PermitMessage
  | {readonly type: 'open'; readonly call: OpenCall}
  | {
      readonly type: 'body';
      readonly callId: string;
      readonly bytes: Uint8Array;
    }
  | {
      readonly type: 'attach';
      readonly callId: string;
      /** Index of the first token that the entry lacks. */
      readonly from: number;
    }
  | {readonly type: 'cancel'; readonly callId: string}
  | {
      readonly type: 'reserve';
      readonly reservationId: string;
      readonly tokens: number;
      readonly ttlMs: number;
    }
  | {readonly type: 'release'; readonly reservationId: string}
  | {readonly type: 'reserved'; readonly reservationId: string}
  | {
      readonly type: 'not-reserved';
      readonly reservationId: string;
      readonly failure: Failure;
    }
  | {readonly type: 'accepted'; readonly callId: string}
  | {
      readonly type: 'refused';
      readonly callId: string;
      readonly failure: Failure;
      /** The only agent that can report the outcome of an earlier attempt. */
      readonly askAgent?: string;
    }
  | {
      readonly type: 'tokens';
      readonly callId: string;
      readonly index: number;
      readonly texts: readonly string[];
    }
  | {
      readonly type: 'done';
      readonly callId: string;
      readonly count: number;
      readonly response?: PlainServiceResponse;
      /** Handle of the KV cache that holds the prefilled segment. */
      readonly carry?: string;
    }
  | {
      readonly type: 'failed';
      readonly callId: string;
      readonly failure: Failure;
      readonly crashed: boolean;
    }
  | {readonly type: 'alive'; readonly callId: string}
  | {
      readonly type: 'unseen';
      readonly callId: string;
      readonly incarnation: string;
    }
  | {readonly type: 'report'; readonly report: AgentReport}
  | {
      readonly type: 'suspect';
      readonly fingerprint: string;
      readonly crashes: number;
    }
  | {
      /** Configuration revisions of the nodes linked to the sender. */
      readonly type: 'revisions';
      readonly nodes: readonly {
        readonly id: string;
        readonly revision: number;
      }[];
    }
  | {readonly type: 'digest'; readonly digest: ConfigDigest}
  | {readonly type: 'records'; readonly entries: readonly ConfigEntry[]}
  | {readonly type: 'ask'; readonly above: number}
  | {
      /** Changes of the work that an entry has in progress on servers. */
      readonly type: 'work';
      readonly changes: readonly WorkChange[];
      /** Number of the last numbered change; absent from the former version. */
      readonly lastNumber?: number;
      /** True if these are all of the sender's work up to `lastNumber`. */
      readonly isComplete?: boolean;
    }
  | {
      /**
       * Changes of the work of several entries, passed on by relays. They go
       * to a relay (`collect`), from there to other zones' relays (`exchange`)
       * and to the entries of a zone (`deliver`).
       */
      readonly type: 'work-feed';
      readonly stage: 'collect' | 'exchange' | 'deliver';
      readonly sections: readonly WorkSection[];
    }
  | {
      /** Number of the newest change of its work that the sender has sent. */
      readonly type: 'work-digest';
      readonly number: number;
    }
  | {
      /** Asks an entry for all of its work. */
      readonly type: 'work-resync';
    }
  | {
      /** Newest revisions that an entry has seen in the metadata store. */
      readonly type: 'seen';
      readonly revisions: Readonly<Record<string, number>>;
      /** Era of the store that these revisions belong to; 0 if absent. */
      readonly era?: number;
      /** Whether the sender reaches the store; only older entries read it. */
      readonly isStoreReachable?: boolean;
      /** The sender's copies of the store, by kind of object. */
      readonly copies?: Readonly<
        Record<
          string,
          {
            /** Era of the store in which the copy was read. */
            readonly era: number;
            /** No object of the kind changed after this revision ... */
            readonly changedAt: number;
            /** ... up to this one. */
            readonly revision: number;
            /** Milliseconds since the store last confirmed the copy. */
            readonly ageMs: number;
          }
        >
      >;
    }
  | {
      /** Changes of one kind of objects that the sender read from the store. */
      readonly type: 'store-changes';
      readonly kind: string;
      readonly era: number;
      /** No object of the kind changed between this revision and the changes. */
      readonly since: number;
      /** The store's revision that these changes lead to. */
      readonly revision: number;
      /** Milliseconds for which the sender has reached the store. */
      readonly reachableMs: number;
      readonly changes: readonly {
        readonly object: {
          readonly name: string;
          readonly revision: number;
          readonly isDeleting: boolean;
          readonly value: unknown;
        };
        readonly isDeleted: boolean;
      }[];
    }
  | {
      /** Link addresses of the entries known to the sender. */
      readonly type: 'entries';
      readonly addresses: readonly {
        readonly host: string;
        readonly port: number;
      }[];
      /** True if the sender understands `work-feed` messages. */
      readonly relaysWork?: boolean;
      /** Availability zone of the sender. */
      readonly zone?: string;
      /** Processor capacity of the sender in cores. */
      readonly capacity?: number;
    };
