export * from './constants.js';
export * from './requests/caller_headers.js';
export * from './requests/completion_request.js';
export * from './requests/request_metadata.js';
export * from './requests/service_request.js';
export * from './responses/completion_sink.js';
export * from './server/caller_handler.js';
export * from './server/create_caller_server.js';
