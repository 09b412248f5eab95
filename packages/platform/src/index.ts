export * from './create_platform_client.js';
export * from './platform_client.js';
export * from './platform_client_options.js';
export * from './platform_failure.js';
export * from './platform_object.js';
export * from './platform_object_list.js';
