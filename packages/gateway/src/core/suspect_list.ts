import {crashEvidence, trialClaims} from '@figfall/decisions';
import type {SuspectChange} from '@figfall/decisions';
import {RecentKeys} from './recent_keys.js';

type Loss = Parameters<typeof crashEvidence.recordLoss>[1];

type KeyChange = Extract<SuspectChange, {readonly kind: string}>;

type KeyChangeHandlers = {
  readonly [Type in KeyChange['type']]: (
    change: Extract<KeyChange, {readonly type: Type}>,
  ) => void;
};

interface SuspectListOptions {
  readonly kind: KeyChange['kind'];
  readonly limits: Parameters<typeof crashEvidence.empty>[0];
  /**
   * Milliseconds for which a key that was answered is above suspicion; 0 if an
   * answer only clears it.
   */
  readonly answeredTtlMs: number;
  readonly now: () => number;
  /** Id of this gateway among all gateways. */
  readonly gatewayId: string;
  /** Applies a change to this gateway's fleet and announces it to others. */
  readonly applyAndAnnounce: (change: SuspectChange) => void;
  /** Called when requests with a key begin or cease to be refused. */
  readonly onBlocked: (key: string, isBlocked: boolean) => void;
}

/** Keys that are remembered as answered. */
const ANSWERED_MAX = 16_384;

/** Objections that are kept for gateways which are linked later. */
const OBJECTIONS_MAX = 4_096;

/** The keys of one kind that may crash servers, as all gateways know them. */
export class SuspectList {
  private evidence: ReturnType<typeof crashEvidence.empty>;
  private claims = trialClaims.empty();
  private readonly answered: RecentKeys;
  /** Keys that others suspected although they had been answered. */
  private objections: readonly string[] = [];
  /** Blocked keys, as last reported to `onBlocked`. */
  private reported: readonly string[] = [];
  /** The evidence that was judged last, if nothing but a new loss changes that. */
  private judged?: ReturnType<typeof crashEvidence.empty>;

  constructor(private readonly options: SuspectListOptions) {
    const {limits, now, answeredTtlMs: ttlMs} = options;
    this.evidence = crashEvidence.empty(limits);
    this.answered = new RecentKeys({max: ANSWERED_MAX, ttlMs, now});
  }

  isEmpty(): boolean {
    return this.evidence.suspects.size === 0;
  }

  /** The first blocked key of a request, with the milliseconds left. */
  findRefused(keys: readonly string[]) {
    if (this.isEmpty()) return undefined;
    this.judge();
    const now = this.options.now();
    const refusedForMs = (key: string) =>
      crashEvidence.refusedForMs(this.evidence, key, now, keys);
    const refused = keys.find(key => refusedForMs(key) > 0);
    return refused === undefined
      ? undefined
      : {key: refused, forMs: refusedForMs(refused)};
  }

  /**
   * False while a request has to wait, because one of its keys is about to be
   * blocked, or another gateway may make its trial.
   */
  mayRun(keys: readonly string[]): boolean {
    const {evidence, options} = this;
    const blocked = keys.filter(key => crashEvidence.isBlocked(evidence, key));
    return (
      blocked.every(key => this.mayTry(key)) &&
      !crashEvidence.isAnyPending(evidence, keys, options.now())
    );
  }

  /** Claims the trial of a key; true once no other gateway can have it. */
  private mayTry(key: string): boolean {
    const {kind, gatewayId, now, applyAndAnnounce} = this.options;
    const claim = trialClaims.find(this.claims, key, now());
    if (!claim) {
      applyAndAnnounce({type: 'suspect-claimed', kind, key, gatewayId});
    }
    return claim ? trialClaims.isWon(claim, gatewayId, now()) : false;
  }

  /** Records that a request is sent; true if that is the trial of a key. */
  recordTrial(keys: readonly string[]): boolean {
    const {kind, applyAndAnnounce} = this.options;
    const blocked = keys.filter(key =>
      crashEvidence.isBlocked(this.evidence, key),
    );
    blocked.forEach(key =>
      applyAndAnnounce({type: 'suspect-tried', kind, key}),
    );
    return blocked.length > 0;
  }

  /** The keys that were not answered lately. */
  withoutAnswered(keys: readonly string[]): readonly string[] {
    return keys.filter(key => !this.answered.has(key));
  }

  /** Records that a request was answered in full. */
  recordAnswer(keys: readonly string[]): void {
    keys.forEach(key => this.answered.add(key));
    const suspected = keys.filter(key => this.evidence.suspects.has(key));
    if (suspected.length > 0) this.announceAnswered(suspected);
  }

  /** Records a crash, at a time, of a server that ran a request with these keys. */
  recordLoss(loss: Loss, at: number): void {
    const keys = this.withoutAnswered(loss.keys);
    const suspected = {...loss, keys};
    this.evidence = crashEvidence.recordLoss(this.evidence, suspected, at);
    const sound = loss.keys.filter(key => !keys.includes(key));
    if (sound.length > 0) this.announceAnswered(sound);
  }

  /** Applies a change recorded by this gateway or by another one. */
  apply(change: KeyChange): void {
    const handler = this.handlers[change.type] as (change: KeyChange) => void;
    handler(change);
  }

  /** What a newly linked gateway should know. */
  changesForNewPeer(): readonly KeyChange[] {
    const {kind, now} = this.options;
    const keys = this.withAnswered(this.objections);
    const objection = {type: 'suspects-answered', kind, keys} as const;
    const blocked = [...this.evidence.suspects].flatMap(([key, suspect]) => {
      const {isBlocked, trials, updatedAt} = suspect;
      const ageMs = now() - updatedAt;
      const type = 'suspect-blocked' as const;
      return isBlocked ? [{type, kind, key, trials, ageMs}] : [];
    });
    return keys.length > 0 ? [...blocked, objection] : blocked;
  }

  /** Number of keys whose requests are refused. */
  blockedCount(): number {
    return this.reported.length;
  }

  /** Number of keys that were forgotten since there were too many. */
  forgottenCount(): number {
    return this.evidence.forgotten;
  }

  removeExpired(): void {
    this.objections = this.withAnswered(this.objections);
    const now = this.options.now();
    this.evidence = crashEvidence.removeExpired(this.evidence, now);
    this.judge();
  }

  private withAnswered(keys: readonly string[]): readonly string[] {
    return keys.filter(key => this.answered.has(key));
  }

  /** Blocks what is to blame by now, and tells the others of it. */
  private judge(): void {
    const {kind, now, applyAndAnnounce} = this.options;
    if (this.evidence === this.judged) return;
    this.evidence = crashEvidence.judge(this.evidence, now());
    const isFinal = crashEvidence.isSettled(this.evidence, now());
    this.judged = isFinal ? this.evidence : undefined;
    const before = this.reported;
    this.report();
    // One that knows better can object.
    this.reported
      .filter(key => !before.includes(key))
      .forEach(key =>
        applyAndAnnounce({
          type: 'suspect-blocked',
          kind,
          key,
          trials: 0,
          ageMs: 0,
        }),
      );
  }

  private report(): void {
    const before = this.reported;
    this.reported = crashEvidence.blocked(this.evidence);
    const {onBlocked} = this.options;
    this.reported
      .filter(key => !before.includes(key))
      .forEach(key => onBlocked(key, true));
    before
      .filter(key => !this.reported.includes(key))
      .forEach(key => onBlocked(key, false));
  }

  /** Objects to a suspicion, also to gateways that are linked later. */
  private announceAnswered(keys: readonly string[]): void {
    const {kind, applyAndAnnounce} = this.options;
    const added = new Set(keys);
    const others = this.objections.filter(key => !added.has(key));
    this.objections = [...others, ...added].slice(-OBJECTIONS_MAX);
    applyAndAnnounce({type: 'suspects-answered', kind, keys});
  }

  private readonly handlers: KeyChangeHandlers = {
    'suspect-claimed': ({key, gatewayId}) => {
      const now = this.options.now();
      this.claims = trialClaims.add(this.claims, {key, gatewayId}, now);
    },
    'suspects-answered': ({keys}) => {
      keys.forEach(key => this.answered.add(key));
      this.evidence = crashEvidence.recordAnswer(this.evidence, keys);
      this.judge();
    },
    'suspect-tried': ({key}) => {
      const now = this.options.now();
      this.evidence = crashEvidence.recordTrial(this.evidence, key, now);
    },
    'suspect-blocked': ({key, trials, ageMs}) => {
      if (this.answered.has(key)) return this.announceAnswered([key]);
      const now = this.options.now();
      const age = {trials, ageMs};
      this.evidence = crashEvidence.addBlocked(this.evidence, key, age, now);
      this.report();
    },
  };
}
