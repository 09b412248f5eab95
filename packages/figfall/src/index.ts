export * from './agent/agent_settings.js';
export * from './agent/create_agent.js';
export * from './entry/create_entry.js';
export * from './entry/entry_settings.js';
export * from './node/load_hash.js';
export * from './node/node_settings.js';
