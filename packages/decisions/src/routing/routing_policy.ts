/** Ways to choose an agent; all but `figfall` are baselines. */
export type RoutingPolicy =
  'figfall' | 'random' | 'round-robin' | 'least-outstanding';
