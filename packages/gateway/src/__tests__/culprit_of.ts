/** The path of the culprit that a request's target belongs to, if it is one. */
export function culpritOf(
  culprits: Readonly<Record<string, number>>,
  target: string,
): string | undefined {
  return Object.keys(culprits).find(
    path => target === path || target.startsWith(`${path}/`),
  );
}
