export * from './exchange.js';
export * from './http_failure.js';
export * from './http_request.js';
export * from './http_response.js';
export * from './open_exchange.js';
export * from './read_body.js';
export * from './read_events.js';
export * from './set_connect_timeout.js';
