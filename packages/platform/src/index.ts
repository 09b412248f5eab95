export * from './create_platform.js';
export * from './platform.js';
export * from './platform_failure.js';
export * from './platform_list.js';
export * from './platform_object.js';
export * from './resolved_platform.js';
