import type { Settings } from '../settings/index.js';

export function runProcess(settings: Settings): Promise<void> {
  return Promise.reject(new Error(`not yet: ${settings.process.id}`));
}
