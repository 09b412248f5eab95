import type {SETTINGS} from './setting_table.js';

/** Key of a setting in `SETTINGS`. */
export type SettingName = keyof typeof SETTINGS;
