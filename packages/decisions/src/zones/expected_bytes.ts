/** Bytes of one event of a stream. */
const EVENT_BYTES = 80;

/** Bytes of a plain response. */
const PLAIN_RESPONSE_BYTES = 1_000;

/** Bytes that requests and their responses are expected to take. */
export const expectedBytes = {
  stream(bodyBytes: number, outputTokens: number, tokensPerEvent: number) {
    const events = Math.ceil(outputTokens / Math.max(1, tokensPerEvent));
    return bodyBytes + events * EVENT_BYTES;
  },

  plain(bodyBytes: number) {
    return bodyBytes + PLAIN_RESPONSE_BYTES;
  },
};
