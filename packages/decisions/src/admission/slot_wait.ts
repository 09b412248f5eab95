/** A short prompt or plain request that waits for a slot at any gateway. */
export interface SlotWait {
  readonly workId: string;
  /** Gateway at which it waits. */
  readonly owner: string;
  readonly service: string;
  /** Priority level, 0 first. */
  readonly level: number;
  readonly workspace: string;
  readonly isReturn: boolean;
  /** Time of its arrival in milliseconds, by the clock of this gateway. */
  readonly arrivedAt: number;
}
