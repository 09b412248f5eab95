/** Describes an error, or any other value that was thrown. */
function describe(defect: unknown): {message: string; stack?: string} {
  try {
    const {message, stack} =
      defect instanceof Error ? defect : new Error(String(defect));
    return {message: String(message), stack: stack && String(stack)};
  } catch {
    return {message: 'A value was thrown that has no text.'};
  }
}

/** Reports an error that nothing expected; the process goes on. */
export function reportDefect(defect: unknown): void {
  const {message, stack} = describe(defect);
  process.emitWarning(message, {type: 'Defect', detail: stack});
}
