/**
 * Address discovery for callers: lists entries that they can use. Invariant: the list never contains an
 * entry that this entry knows to be stopping or unreachable.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duration, ZoneId } from '../model/index.js';
import { MAX_ADDRESSES } from './limits.js';
import type { CallerAddress } from './ports.js';
import { writeRefusal } from './refusal.js';

/** Path of the discovery endpoint. */
const ADDRESSES_PATH = '/.well-known/chivewalk/addresses';

/** JSON body of a discovery response; `ttl_ms` is how long callers may keep the addresses. */
export interface AddressResponse {
  readonly addresses: readonly CallerAddress[];
  readonly ttl_ms: Duration;
}

/** Shuffles the entries, so that callers spread over them. */
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
 * Picks up to {@link MAX_ADDRESSES} addresses: those of the caller's zone first, with at least one of
 * another zone, if there is any, as a fallback. Zones that are out of service are only used if no other
 * zone has an entry.
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

/** Returns the `zone` parameter of the query, if there is one. */
export function parseZone(url: string): ZoneId | undefined {
  const queryStart = url.indexOf('?');
  const zone = queryStart < 0 ? null : new URLSearchParams(url.slice(queryStart)).get('zone');
  return zone ?? undefined;
}

/**
 * Writes the discovery response; refuses any other request under `/.well-known/`. The status is 503 if
 * there is no address.
 */
export function writeAddresses(
  request: IncomingMessage,
  response: ServerResponse,
  content: AddressResponse,
): void {
  const path = request.url?.split('?', 1)[0];
  if (path !== ADDRESSES_PATH || request.method !== 'GET') {
    writeRefusal(response, { kind: 'fault', fault: 'badTarget' });
    return;
  }
  const body = Buffer.from(`${JSON.stringify(content)}\n`);
  const type = ['content-type', 'application/json', 'cache-control', 'no-store'];
  const status = content.addresses.length > 0 ? 200 : 503;
  response.writeHead(status, [...type, 'content-length', String(body.length)]);
  response.end(body);
}
