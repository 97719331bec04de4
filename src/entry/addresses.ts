/**
 * The answer to "which address?". Invariant: it never lists an entry that is stopping or out of touch,
 * as far as this entry knows.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duration, ZoneId } from '../model/index.js';
import { MAX_ADDRESSES } from './limits.js';
import type { CallerAddress } from './ports.js';
import { writeRefusal } from './refusal.js';

/** Path that callers ask. */
const ADDRESSES_PATH = '/.well-known/chivewalk/addresses';

/** What callers get. */
export interface AddressResponse {
  readonly addresses: readonly CallerAddress[];
  readonly ttl_ms: Duration;
}

/** Orders entries at random. */
function generateRandomOrder(
  entries: readonly CallerAddress[],
  getRandom: () => number,
): readonly CallerAddress[] {
  return entries
    .map((entry) => ({ entry, rank: getRandom() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ entry }) => entry);
}

/**
 * Picks a few addresses, those of the caller's zone first, with one of another zone as the last resort.
 *
 * @example
 * pickAddresses(entries, 'shah-alam', ['klang'], Math.random);
 */
export function pickAddresses(
  entries: readonly CallerAddress[],
  zone: ZoneId | undefined,
  zonesOut: readonly ZoneId[],
  getRandom: () => number,
): readonly CallerAddress[] {
  const inService = entries.filter((entry) => !zonesOut.includes(entry.zone));
  const candidates = generateRandomOrder(inService.length > 0 ? inService : entries, getRandom);
  const sameZone = candidates.filter((entry) => entry.zone === zone);
  const otherZones = candidates.filter((entry) => entry.zone !== zone);
  const reserved = Math.min(1, otherZones.length);
  const picked = sameZone.slice(0, MAX_ADDRESSES - reserved);
  return [...picked, ...otherZones.slice(0, MAX_ADDRESSES - picked.length)];
}

/** Returns the zone that the caller named in its query. */
export function parseZone(url: string): ZoneId | undefined {
  const queryStart = url.indexOf('?');
  const zone = queryStart < 0 ? null : new URLSearchParams(url.slice(queryStart)).get('zone');
  return zone ?? undefined;
}

/** Writes the answer to a request for addresses, or refuses another request under the same prefix. */
export function writeAddresses(
  request: IncomingMessage,
  response: ServerResponse,
  answer: AddressResponse,
): void {
  const path = request.url?.split('?', 1)[0];
  if (path !== ADDRESSES_PATH || request.method !== 'GET') {
    writeRefusal(response, { kind: 'fault', fault: 'badTarget' });
    return;
  }
  const body = Buffer.from(`${JSON.stringify(answer)}\n`);
  const type = ['content-type', 'application/json', 'cache-control', 'no-store'];
  const status = answer.addresses.length > 0 ? 200 : 503;
  response.writeHead(status, [...type, 'content-length', String(body.length)]);
  response.end(body);
}
