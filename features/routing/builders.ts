/** Builders of test values for the routing features. */
import type { Config, RosterMember, Upstream } from '../../src/model/index.js';
import { emptyConfig } from '../../src/model/index.js';
import type { Call } from '../../src/routing/index.js';

/** Returns an upstream of the service `seams` that has been running for an hour, so it is warm. */
export function buildUpstream(id: string, fields: Partial<Upstream> = {}): Upstream {
  return {
    id,
    service: 'seams',
    version: '1',
    zone: id.slice(0, 1),
    labels: {},
    address: `10.0.0.1:${7000 + (id.codePointAt(1) ?? 0)}`,
    slots: 6,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 3_600_000,
    ...fields,
  };
}

/** Returns a configuration with a roster of `size` active entries. */
export function buildConfig(size: number, fields: Partial<Config> = {}): Config {
  const members = Array.from({ length: size }, (_, index) => buildMember(`entry-${index}`));
  return { ...emptyConfig, revision: 1, roster: { epoch: 1, members }, ...fields };
}

/** Returns an active member of the roster. */
export function buildMember(id: string): RosterMember {
  return {
    id,
    zone: 'a',
    peerAddress: '10.0.0.2:1',
    callerAddress: '10.0.0.2:2',
    incarnation: 1,
    phase: 'active',
  };
}

/** Returns an idempotent interactive call of the service `seams`. */
export function buildCall(id: number, fields: Partial<Call> = {}): Call {
  return {
    id,
    service: 'seams',
    route: 'records',
    idempotent: true,
    criticality: 'interactive',
    deadline: 10_000,
    fingerprint: `fingerprint-${id}`,
    depth: 0,
    ...fields,
  };
}
