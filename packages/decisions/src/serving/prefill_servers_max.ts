/** Most servers that one prompt is split over. */
export const PREFILL_SERVERS_MAX = 16;
