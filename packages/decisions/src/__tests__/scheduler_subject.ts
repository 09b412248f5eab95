import {scheduler} from '../scheduler/scheduler.js';
import type {SchedulerCommand} from '../scheduler/scheduler_command.js';
import type {SchedulerEvent} from '../scheduler/scheduler_event.js';
import type {SchedulerOptions} from '../scheduler/scheduler_options.js';
import {schedulerFixture} from './scheduler_fixture.js';

/** Runs events through a scheduler and records its commands. */
function createScheduler(overrides: Partial<SchedulerOptions> = {}) {
  const options = schedulerFixture.options(overrides);
  let state = scheduler.create(schedulerFixture.status(), options, 0);
  const commands: SchedulerCommand[] = [];
  return {
    commands,
    state: () => state,
    step(event: SchedulerEvent, now = 0): readonly SchedulerCommand[] {
      const next = scheduler.step(state, event, options, now);
      state = next.state;
      commands.push(...next.commands);
      return next.commands;
    },
  };
}

type TestScheduler = ReturnType<typeof createScheduler>;

function warm(subject: TestScheduler): void {
  const report = {type: 'load-report', incarnation: 'a', cold: false};
  subject.step({...report, type: 'load-report'}, 0);
  subject.step({...report, type: 'load-report'}, 1_000);
  Array.from({length: 16}, (_, i) => `warm-${i}`).forEach(callId => {
    offer(subject, callId, {}, 1_000);
    subject.step({type: 'first-token', callId}, 1_000);
    subject.step({type: 'finished', callId, healthy: true}, 1_000);
  });
  subject.commands.length = 0;
}

function offer(
  subject: TestScheduler,
  callId: string,
  overrides: Parameters<typeof schedulerFixture.call>[1] = {},
  now = 0,
): readonly SchedulerCommand[] {
  const call = schedulerFixture.call(callId, {arrivedAt: now, ...overrides});
  return subject.step({type: 'offer', call, weight: 1}, now);
}

function dispatched(commands: readonly SchedulerCommand[]): string[] {
  return commands.flatMap(command =>
    command.type === 'dispatch' ? [command.callId] : [],
  );
}

function refusals(commands: readonly SchedulerCommand[]): string[] {
  return commands.flatMap(command =>
    command.type === 'refuse' ? [command.failure.kind] : [],
  );
}

/** A scheduler under test, and what its tests send and read. */
export const schedulerSubject = {
  createScheduler,
  warm,
  offer,
  dispatched,
  refusals,
};
