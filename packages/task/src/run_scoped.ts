import {Effect, Exit, Scope} from 'effect';

/** A value that is open until it is closed. */
interface Opened<Value> {
  readonly value: Value;
  /** Runs the finalizers in reverse order. */
  readonly close: () => Promise<void>;
}

/** Runs a scoped effect and keeps its scope open until `close` is called. */
export async function runScoped<Value>(
  effect: Effect.Effect<Value, Error, Scope.Scope>,
): Promise<Opened<Value>> {
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
