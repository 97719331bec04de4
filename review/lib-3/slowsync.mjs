/**
 * Delays each sync of a file by SYNC_MS (250), as a slow disk does. Loaded before a program of the project:
 * NODE_OPTIONS="--import ./review/lib-3/slowsync.mjs". No case starts with it.
 */
import fs from 'node:fs';
import { open } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { setTimeout as sleep } from 'node:timers/promises';

const SYNC_MS = Number(process.env.SYNC_MS ?? 250);

const handle = await open(process.execPath);
const prototype = Object.getPrototypeOf(handle);
await handle.close();
['sync', 'datasync'].forEach((name) => {
  const original = prototype[name];
  prototype[name] = async function () {
    await sleep(SYNC_MS);
    return original.call(this);
  };
});
['fsync', 'fdatasync'].forEach((name) => {
  const original = fs[name];
  fs[name] = (descriptor, done) => setTimeout(() => original(descriptor, done), SYNC_MS);
});
syncBuiltinESMExports();
