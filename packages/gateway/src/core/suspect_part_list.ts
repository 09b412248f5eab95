import {serverProcessId, suspectParts} from '@figfall/decisions';
import type {BackendServer, SuspectChange} from '@figfall/decisions';
import type {CallSpec} from '../calls/call_spec.js';
import {RecentKeys} from './recent_keys.js';

type PartChange = Exclude<SuspectChange, {readonly fingerprint: string}>;

interface SuspectPartListOptions {
  readonly now: () => number;
  /** Applies a change to this gateway's fleet and announces it to others. */
  readonly applyAndAnnounce: (change: SuspectChange) => void;
  /** Called when prompts with a part begin or cease to be refused. */
  readonly onPartBlocked: (part: string, isBlocked: boolean) => void;
}

type PartChangeHandlers = {
  readonly [Type in PartChange['type']]: (
    change: Extract<PartChange, {readonly type: Type}>,
  ) => void;
};

/** Parts that are remembered as answered. */
const ANSWERED_MAX = 4_096;

/** Milliseconds for which a part that was answered is above suspicion. */
const ANSWERED_TTL_MS = 60_000;

/** Objections that are kept for gateways which are linked later. */
const OBJECTIONS_MAX = 1_024;

/** Shared parts of a prompt, told apart by the service that runs it. */
function partsOf({req, service}: CallSpec): readonly string[] {
  const parts = req.prompt?.sharedParts ?? [];
  return parts.map(part => `${service.name}/${part}`);
}

/** Parts of prompts that may crash any server that begins to answer them. */
export class SuspectPartList {
  private parts = suspectParts.empty();
  private readonly answered: RecentKeys;
  /** Parts that others suspected although they had been answered. */
  private objections: readonly string[] = [];
  /** Blocked parts, as last reported to `onPartBlocked`. */
  private reported: readonly string[] = [];

  constructor(private readonly options: SuspectPartListOptions) {
    this.answered = new RecentKeys({
      max: ANSWERED_MAX,
      ttlMs: ANSWERED_TTL_MS,
      now: options.now,
    });
  }

  /** The blocked part of a request's prompt, if any. */
  findBlocked(spec: CallSpec) {
    if (this.parts.size === 0) return undefined;
    return suspectParts.findBlocked(
      this.parts,
      partsOf(spec),
      this.options.now(),
    );
  }

  /** Records that a request is sent, which may be the trial of a part. */
  recordTrial(spec: CallSpec): void {
    if (this.parts.size === 0) return;
    suspectParts
      .partsOnTrial(this.parts, partsOf(spec))
      .forEach(part =>
        this.options.applyAndAnnounce({type: 'part-tried', part}),
      );
  }

  /** Records the loss of a server that had a request for `heldMs`. */
  recordLoss(spec: CallSpec, server: BackendServer, heldMs: number): void {
    const parts = partsOf(spec).filter(part => !this.answered.has(part));
    if (parts.length === 0) return;
    const serverId = serverProcessId(server);
    const change = {type: 'server-lost', serverId, parts, heldMs} as const;
    this.options.applyAndAnnounce(change);
  }

  /** Records that a server has begun to answer a request. */
  recordAnswer(spec: CallSpec): void {
    const parts = partsOf(spec);
    parts.forEach(part => this.answered.add(part));
    const suspected = parts.filter(part => this.parts.has(part));
    if (suspected.length > 0) this.announceAnswered(suspected);
  }

  /** Applies a change recorded by this gateway or by another one. */
  apply(change: PartChange): void {
    // A newer gateway may send types that are unknown here.
    const handler = this.handlers[change.type] as
      ((change: PartChange) => void) | undefined;
    handler?.(change);
    this.reportBlocked();
  }

  /** What a newly linked gateway should know. */
  changesForNewPeer(): readonly PartChange[] {
    const now = this.options.now();
    const parts = this.objections.filter(part => this.answered.has(part));
    const objection = {type: 'parts-answered', parts} as const;
    const blocked = suspectParts.blocked(this.parts).flatMap(part => {
      const suspect = this.parts.get(part);
      if (!suspect) return [];
      const {trials, updatedAt} = suspect;
      const ageMs = now - updatedAt;
      return [{type: 'part-blocked' as const, part, trials, ageMs}];
    });
    return parts.length > 0 ? [...blocked, objection] : blocked;
  }

  /** Number of parts whose prompts are refused. */
  blockedCount(): number {
    return this.reported.length;
  }

  removeExpired(): void {
    this.parts = suspectParts.removeExpired(this.parts, this.options.now());
    this.objections = this.objections.filter(part => this.answered.has(part));
    this.reportBlocked();
  }

  private reportBlocked(): void {
    const before = this.reported;
    this.reported = suspectParts.blocked(this.parts);
    const {onPartBlocked} = this.options;
    this.reported
      .filter(part => !before.includes(part))
      .forEach(part => onPartBlocked(part, true));
    before
      .filter(part => !this.reported.includes(part))
      .forEach(part => onPartBlocked(part, false));
  }

  /** Tells the others, so that one that knows better can object. */
  private announceBlocked(part: string): void {
    const {applyAndAnnounce} = this.options;
    applyAndAnnounce({type: 'part-blocked', part, trials: 0, ageMs: 0});
  }

  /** Objects to a suspicion, also to gateways that are linked later. */
  private announceAnswered(parts: readonly string[]): void {
    const all = new Set([...this.objections, ...parts]);
    this.objections = [...all].slice(-OBJECTIONS_MAX);
    this.options.applyAndAnnounce({type: 'parts-answered', parts});
  }

  private readonly handlers: PartChangeHandlers = {
    'server-lost': change => {
      const sound = change.parts.filter(part => this.answered.has(part));
      const parts = change.parts.filter(part => !this.answered.has(part));
      const loss = {...change, parts};
      const now = this.options.now();
      const blockedBefore = suspectParts.blocked(this.parts);
      this.parts = suspectParts.recordLoss(this.parts, loss, now);
      suspectParts
        .blocked(this.parts)
        .filter(part => !blockedBefore.includes(part))
        .forEach(part => this.announceBlocked(part));
      if (sound.length > 0) this.announceAnswered(sound);
    },
    'parts-answered': ({parts}) => {
      parts.forEach(part => this.answered.add(part));
      this.parts = suspectParts.recordAnswer(this.parts, parts);
    },
    'part-tried': ({part}) => {
      const now = this.options.now();
      this.parts = suspectParts.recordTrial(this.parts, part, now);
    },
    'part-blocked': ({part, trials, ageMs}) => {
      if (this.answered.has(part)) return this.announceAnswered([part]);
      const now = this.options.now();
      const age = {trials, ageMs};
      this.parts = suspectParts.addBlocked(this.parts, part, age, now);
    },
  };
}
