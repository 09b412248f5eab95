/** Policy to choose an agent; all but `figfall` are baselines to compare with. */
export type RoutingPolicy =
  'figfall' | 'random' | 'round-robin' | 'least-outstanding';
