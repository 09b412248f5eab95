/** Times of the exchange of permits between gateways, in milliseconds. */
export const PERMIT_TIMING = {
  /** For how long a message leases a gateway's share to the issuer. */
  LEASE_MS: 1_500,
  /** Time between messages that renew a leased share. */
  RENEW_MS: 400,
  /** Time after the last message until a share may be leased to another. */
  HANDOVER_MS: 2_000,
  /** Time in which a permit may be used at the gateway that got it. */
  PERMIT_MS: 1_000,
  /** Time for which the issuer counts a permit that it hears nothing of. */
  OUTSTANDING_MS: 2_000,
} as const;
