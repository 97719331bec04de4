/**
 * The record in the data folder that its member founds the group. Invariant: a folder with this record was not emptied since
 * the first start of the site, so that its member goes on with the founding after a restart.
 */
import { readFileSync } from 'node:fs';
import { mkdir, open, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { isAddress, type Address } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';

const log = createLogger('daemon');

const FOUNDING_FILE = 'founding.json';

/** Records the seeds of the first start; without the record, a restart asks the other seeds whether they still wait. */
export async function recordFoundingSeeds(
  folder: string,
  seeds: readonly Address[],
): Promise<void> {
  try {
    await mkdir(folder, { recursive: true });
    await writeFile(join(folder, FOUNDING_FILE), JSON.stringify({ seeds }), { flush: true });
    const handle = await open(folder);
    await handle.sync().finally(() => handle.close());
  } catch (error) {
    log.warn('cannot record the founding: free space on the disk', { reason: String(error) });
  }
}

/** Returns the seeds of the first start, or undefined if this folder doesn't hold them in full. */
export function readFoundingSeeds(folder: string): readonly Address[] | undefined {
  try {
    const { seeds } = JSON.parse(readFileSync(join(folder, FOUNDING_FILE), 'utf8')) as {
      readonly seeds?: unknown;
    };
    const isUsable = Array.isArray(seeds) && seeds.length > 0 && seeds.every(isAddressText);
    return isUsable ? seeds : undefined;
  } catch {
    return undefined;
  }
}

function isAddressText(value: unknown): value is Address {
  return typeof value === 'string' && isAddress(value);
}
