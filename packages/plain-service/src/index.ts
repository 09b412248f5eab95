export * from './create_plain_service_client.js';
export * from './plain_service_request.js';
