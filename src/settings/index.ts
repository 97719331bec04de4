/** Settings of a process: read from an INI file, checked against the schema, never half accepted. */
export { loadSettings, parseSettings } from './load.js';
export type { SettingsProblem } from './problem.js';
export { formatProblem } from './problem.js';
export type { Settings } from '../generated/settings.js';
