/** Parts of a prompt that a log line names. */
const NAMED_MAX = 16;

/** Names the first parts of a prompt, and the number of the others. */
export function describeParts(parts: readonly string[]): string {
  const named = parts.slice(0, NAMED_MAX);
  const others = parts.length - named.length;
  return [...named, ...(others > 0 ? [`(and ${others} more)`] : [])].join(' ');
}
