import type {SETTINGS} from './setting_table.js';

/** Name of a setting in the table of settings. */
export type SettingName = keyof typeof SETTINGS;
