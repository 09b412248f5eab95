import type {BackendServer} from '@figfall/decisions';
import {plainServer} from './plain_server.js';

/** What a crashed server comes back as. */
type Identity = 'new-id' | 'same-id' | 'same-id-without-start';

/** Milliseconds after which a crashed server is back. */
const BACK_MS = 3_000;

/** A server in virtual time that comes back after each crash. */
export class CrashingServer {
  private serverId: string;
  private startedAt?: number = 1;
  private backAt = 0;
  private isServing = true;

  constructor(
    private readonly index: number,
    private readonly identity: Identity,
  ) {
    this.serverId = `s${index}`;
  }

  get id(): string {
    return this.serverId;
  }

  isUp(): boolean {
    return this.isServing;
  }

  crash(now: number): void {
    this.isServing = false;
    this.backAt = now + BACK_MS;
  }

  /** Starts again if it is time; true if it did. */
  restartIfDue(now: number): boolean {
    if (this.isServing || now < this.backAt) return false;
    this.isServing = true;
    const hasStart = this.identity !== 'same-id-without-start';
    this.startedAt = hasStart ? now : undefined;
    if (this.identity === 'new-id') this.serverId = `s${this.index}-${now}`;
    return true;
  }

  listed(): BackendServer {
    return {...plainServer(this.serverId), processStartedAt: this.startedAt};
  }
}
