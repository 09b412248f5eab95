/**
 * Memory for the responses of backend servers to one caller's request, within
 * the budget of all requests. It is given back once the caller has a response.
 */
export interface ResponseMemory {
  /** Reserves bytes; false if there are not as many left. */
  readonly take: (bytes: number) => boolean;
  readonly giveBack: (bytes: number) => void;
  /**
   * Reserves bytes once there are as many left. Returns a function that ends
   * the wait.
   */
  readonly waitFor: (bytes: number, onTaken: () => void) => () => void;
  /** False if the whole budget would not do. */
  readonly mayEverTake: (bytes: number) => boolean;
}
