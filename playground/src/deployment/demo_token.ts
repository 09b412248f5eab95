/** Returns the bearer token of a workspace in the playground. */
export function demoToken(workspace: string): string {
  return `${workspace}-demo-token`;
}
