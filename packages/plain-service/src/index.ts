export * from './create_plain_service.js';
export * from './plain_request.js';
