/** Settings of a process: read from an INI file, validated against the schema, and accepted or refused as a whole. */
export { loadSettings, parseSettings } from './load.js';
export type { SettingsProblem } from './problem.js';
export { formatProblem } from './problem.js';
export type { Settings } from '../generated/settings.js';
