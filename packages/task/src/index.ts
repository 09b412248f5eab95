export * from './create_task.js';
export * from './listen_on.js';
export * from './monotonic_now.js';
export * from './repeat_every.js';
export * from './report_defect.js';
export * from './run_after_poll.js';
export * from './run_scoped.js';
export * from './task.js';
