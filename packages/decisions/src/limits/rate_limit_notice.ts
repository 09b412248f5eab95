/** What a response says of the request rate that its server takes. */
export type RateLimitNotice =
  | {
      /** The server takes `perSecond` requests from all gateways together. */
      readonly type: 'named';
      readonly perSecond: number;
    }
  | {
      /** The server names no limit any more, or never did. */
      readonly type: 'none';
    }
  | {
      /** The response can't tell, or can't be read. */
      readonly type: 'unknown';
    };
