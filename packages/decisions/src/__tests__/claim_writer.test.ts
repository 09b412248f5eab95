import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Claim} from '../ledger/claim.js';
import type {ClaimSegment} from '../ledger/claim_segment.js';
import {claimWriter} from '../ledger/claim_writer.js';
import type {ClaimWriterCommand} from '../ledger/claim_writer_command.js';
import type {ClaimWriterEvent} from '../ledger/claim_writer_event.js';
import {resolveClaim} from '../ledger/resolve_claim.js';
import {locateKey} from '../ledger/locate_key.js';
import {ranStateOfKey} from '../ledger/ran_state_of_key.js';
import {testHash} from './test_hash.js';

const OPTIONS = {minIntervalMs: 0, sealBytes: 2_000, retryMs: 1};
const DEADLINE = 100_000;

function claim(key: string, attemptId: string, agentId = 'a'): Claim {
  return {
    key,
    attemptId,
    agentId,
    incarnation: `${agentId}-1`,
    fingerprint: 'f',
    claimedAt: 0,
    state: 'claimed',
  };
}

/** A platform object with conditional writes, some of which arrive late. */
class Store {
  version = 0;
  segment: ClaimSegment = {sealed: false, claims: {}};
  delayed: Extract<ClaimWriterCommand, {type: 'write'}>[] = [];

  write(command: Extract<ClaimWriterCommand, {type: 'write'}>): boolean {
    if (command.expectedVersion !== this.version) return false;
    this.version += 1;
    this.segment = command.segment;
    return true;
  }
}

class Writer {
  state = claimWriter.create();
  pending: ClaimWriterCommand[] = [];
  granted: string[] = [];
  failed: string[] = [];

  step(event: ClaimWriterEvent, now: number): void {
    const next = claimWriter.step(this.state, event, OPTIONS, now);
    this.state = next.state;
    next.commands.forEach(command => {
      if (command.type !== 'settle') return void this.pending.push(command);
      const {type, attemptId} = command.result;
      if (type === 'granted') this.granted.push(attemptId);
      if (type === 'failed') this.failed.push(attemptId);
    });
  }

  /**
   * Carries out the next command. Faults: 1 loses the response of a write, 2
   * also delays the write, 3 fails a read.
   */
  act(store: Store, fault: number, now: number): void {
    const command = this.pending.shift();
    if (!command || command.type === 'settle') return;
    if (command.type === 'read') {
      const {version, segment} = store;
      const failed = fault === 3;
      return this.step(
        failed ? {type: 'read-failed'} : {type: 'read', version, segment},
        now,
      );
    }
    if (fault === 1) {
      store.write(command);
      return this.step({type: 'write-lost'}, now);
    }
    if (fault === 2) {
      store.delayed.push(command);
      return this.step({type: 'write-lost'}, now);
    }
    const {version} = store;
    const succeeded = store.write(command);
    this.step(
      succeeded ? {type: 'written', version: version + 1} : {type: 'conflict'},
      now,
    );
  }
}

const actionArbitrary = fc.record({
  writer: fc.nat(1),
  action: fc.nat(4),
  submit: fc.boolean(),
  key: fc.nat(3),
  arrives: fc.boolean(),
});

test('no key is granted to two attempts despite lost, late or concurrent writes', () => {
  fc.assert(
    fc.property(fc.array(actionArbitrary, {maxLength: 60}), actions => {
      const store = new Store();
      const writers = [new Writer(), new Writer()];
      const keys = new Map<string, string>();
      let now = 0;
      actions.forEach(({writer, action, submit, key, arrives}, i) => {
        now += 2;
        if (arrives) store.delayed.splice(0, 1).forEach(w => store.write(w));
        if (submit) {
          const attemptId = `${writer}/${i}`;
          keys.set(attemptId, `k${key}`);
          const change = {
            type: 'claim',
            claim: claim(`k${key}`, attemptId, `w${writer}`),
            submittedAt: now,
            deadlineAt: now + 40,
          } as const;
          writers[writer].step({type: 'submit', change}, now);
        } else if (action === 4) writers[writer].step({type: 'tick'}, now);
        else writers[writer].act(store, action, now);
      });
      const granted = writers.flatMap(writer => writer.granted);
      const grantedKeys = granted.map(attemptId => keys.get(attemptId));
      expect(new Set(grantedKeys).size).toEqual(granted.length);
      const failed = writers.flatMap(writer => writer.failed);
      expect(failed.filter(id => granted.includes(id))).toEqual([]);
    }),
    {seed: 20_261_204, numRuns: 3_000},
  );
});

test('one write contains all queued claims', () => {
  const writer = new Writer();
  ['1', '2', '3'].forEach(id => {
    const change = {
      type: 'claim',
      claim: claim(`k${id}`, id),
      submittedAt: 0,
      deadlineAt: DEADLINE,
    } as const;
    writer.step({type: 'submit', change}, 0);
  });
  const store = new Store();
  writer.act(store, 0, 1);
  writer.act(store, 0, 2);
  expect(writer.granted).toEqual(['1', '2', '3']);
  expect(store.version).toEqual(1);
});

test('a sealed segment takes no new keys but keeps its claims', () => {
  const writer = new Writer();
  const store = new Store();
  ['1', '2', '3', '4', '5', '6', '1b', '7'].forEach((id, i) => {
    const change = {
      type: 'claim',
      claim: claim(`k${id[0]}`, id),
      submittedAt: i,
      deadlineAt: DEADLINE,
    } as const;
    writer.step({type: 'submit', change}, i);
    while (writer.pending.length > 0) writer.act(store, 0, i);
  });
  expect(store.segment.sealed).toEqual(true);
  expect(writer.granted.includes('1b')).toEqual(false);
  expect(Object.keys(store.segment.claims).includes('k7')).toEqual(false);
});

test('only the incarnation that a claim names can replace its attempt', () => {
  const resolve = (agentId: string, incarnation: string) =>
    resolveClaim(claim('k', '1', 'a'), {
      agentId,
      incarnation,
      fingerprint: 'f',
      attemptStatus: () => 'never-dispatched',
    }).type;
  expect(resolve('a', 'a-1')).toEqual('replace');
  expect(resolve('a', 'a-2')).toEqual('refuse');
  expect(resolve('b', 'b-1')).toEqual('ask');
});

test('the location of a key is constant until its retention ends', () => {
  const options = {retentionMs: 10_000, segmentMs: 1_000, shards: 4};
  const dated = {workspace: 'w', service: 's', key: 'k', createdAt: 5_500};
  const at = (now: number) => locateKey(dated, options, testHash, now);
  expect(at(6_000)).toEqual(at(15_000));
  const expired = at(15_501);
  expect(expired.isErr() && expired.error.kind).toEqual('key-expired');
  expect(expired.isErr() && expired.error.ran).toEqual('unknown');
});

test('a refusal reports "not run" only if no earlier attempt can have run', () => {
  expect(ranStateOfKey('absent', 60_000)).toEqual('no');
  expect(ranStateOfKey('claimed', 0)).toEqual('unknown');
  expect(ranStateOfKey('done', 0)).toEqual('yes');
  expect(ranStateOfKey('unreadable', 10)).toEqual('no');
  expect(ranStateOfKey('unreadable', 5_000)).toEqual('unknown');
});
