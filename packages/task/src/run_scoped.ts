import {Effect, Exit, Scope} from 'effect';

/** The result of a scoped effect whose scope is still open. */
interface Running<Value> {
  readonly value: Value;
  /** Closes the scope, which runs its finalizers in reverse order. */
  readonly close: () => Promise<void>;
}

/**
 * Runs a scoped effect and keeps its scope open until `close` is called. If the
 * effect fails, the scope is closed and the error is thrown.
 */
export async function runScoped<Value>(
  effect: Effect.Effect<Value, Error, Scope.Scope>,
): Promise<Running<Value>> {
  const scope = Scope.makeUnsafe();
  const close = () => Effect.runPromise(Scope.close(scope, Exit.void));
  try {
    const value = await Effect.runPromise(Scope.provide(effect, scope));
    return {value, close};
  } catch (error) {
    await close();
    throw error;
  }
}
