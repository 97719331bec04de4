/** What the platform does to the processes of a site: it kills what exceeds its memory and starts again what ends. */
import { readFileSync } from 'node:fs';
import { record } from './site.mjs';

/** Memory of a process, as in the site file. */
export const MEMORY_MB = 350;
const RESTART_DELAY = 500;
const WATCH_INTERVAL = 100;

/** Returns the resident memory of a process in MB, or 0 if it has ended. */
export function readMemory(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** Watches the processes, and counts in `ends` how often each of them ended by itself or exceeded its memory. */
export function watchProcesses(site, ends) {
  return setInterval(() => {
    [...site.processes].forEach(([name, running]) => {
      const { child, exitedAt, isReplaced, isKilled } = running;
      const memory = exitedAt === undefined ? readMemory(child.pid) : 0;
      if (memory > MEMORY_MB && !isKilled) {
        running.isKilled = true;
        record(`${name} uses ${Math.round(memory)} MB of ${MEMORY_MB}: the platform kills it`);
        child.kill('SIGKILL');
      }
      if (exitedAt === undefined || isReplaced) return;
      running.isReplaced = true;
      const reason = /FATAL ERROR: .*/.exec(running.output)?.[0];
      if (reason !== undefined) record(`${name} wrote: ${reason}`);
      ends.set(name, (ends.get(name) ?? 0) + 1);
      const [role, number] = name.split('-');
      setTimeout(() => {
        if (!site.isStopping) site.startProcess(role, Number(number) - 1, false);
      }, RESTART_DELAY);
    });
  }, WATCH_INTERVAL);
}
