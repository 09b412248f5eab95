/**
 * Position of a request among the distinct priorities of the requests that its
 * service may get.
 */
export interface PriorityLevel {
  /** 0 is the most urgent level. */
  readonly level: number;
  /** Number of levels; 1 if all requests of the service are equally urgent. */
  readonly levels: number;
}
