/**
 * The values that every package shares. Invariant: each value is immutable and survives being
 * encoded and decoded unchanged, so it may be sent, stored or compared by content.
 */

/** A point in time in milliseconds on a monotonic clock of the process that read it. */
export type Instant = number;
/** A length of time in milliseconds. */
export type Duration = number;
/** The number of a committed configuration; it only rises. */
export type Revision = number;
/** The stable name of an entry process, unique in the fleet. */
export type EntryId = string;
/** The name of an availability zone. */
export type ZoneId = string;
/** `address:port` by IP number. */
export type Address = string;
/** Operator-visible key and value pairs on an upstream. */
export type Labels = Readonly<Record<string, string>>;

/** How a caller ranks a call; `batch` work is shed before `interactive` work. */
export type Criticality = 'interactive' | 'batch';

/** One upstream as it announced itself. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly zone: ZoneId;
  readonly labels: Labels;
  readonly address: Address;
  /** Requests that it can run at once. */
  readonly slots: number;
  /** Connections that it accepts from the whole fleet. */
  readonly maxConnections: number;
  /** Rises at each start of the upstream process. */
  readonly incarnation: number;
  /** Whether it said that it is leaving. */
  readonly leaving: boolean;
  /** Milliseconds since it started, as far as known when the record was made. */
  readonly age: Duration;
}

/** Matches labels; the labels `service`, `version`, `zone` and `id` are implied by the record. */
export interface Selector {
  readonly match: Labels;
}

/** A share of traffic for each version of the services that a version move selects. */
export interface VersionWeight {
  readonly service: string;
  /** The version that receives `share`; every other version shares the rest. */
  readonly version: string;
  /** From 0 to 1. */
  readonly share: number;
}

/** One entry in the agreed roster. */
export interface RosterMember {
  readonly id: EntryId;
  readonly zone: ZoneId;
  /** The address of its peer listener. */
  readonly peerAddress: Address;
  /** The address that callers connect to. */
  readonly callerAddress: Address;
  /** Rises at each start of the entry process. */
  readonly incarnation: number;
  /** A joining member counts in every divisor but may not yet use its share. */
  readonly phase: 'joining' | 'active' | 'leaving';
}

/** The agreed set of entries; `epoch` rises with each change of members. */
export interface Roster {
  readonly epoch: number;
  readonly members: readonly RosterMember[];
}

/** All that operators decided and the control processes agreed upon, as entries apply it. */
export interface Config {
  readonly revision: Revision;
  readonly zonesOut: readonly ZoneId[];
  readonly leaving: readonly Selector[];
  readonly weights: readonly VersionWeight[];
  readonly roster: Roster;
}

/** The configuration before anything was agreed. */
export const emptyConfig: Config = {
  revision: 0,
  zonesOut: [],
  leaving: [],
  weights: [],
  roster: { epoch: 0, members: [] },
};

/** What the load report carried on an upstream's answer says. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly cold: boolean;
}

/** The state that follows an event and the effects that the shell must carry out. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** Returns the labels of an upstream together with the implied ones. */
export function getLabels(upstream: Upstream): Labels {
  const { id, service, version, zone } = upstream;
  return { ...upstream.labels, id, service, version, zone };
}

/**
 * Tells whether every pair of the selector stands on the upstream.
 *
 * @example
 * matchSelector({ match: { zone: 'cyberjaya' } }, upstream) // true for upstreams of that zone
 */
export function matchSelector(selector: Selector, upstream: Upstream): boolean {
  const labels = getLabels(upstream);
  return Object.entries(selector.match).every(([key, value]) => labels[key] === value);
}

/** Thrown when an invariant of a package does not hold; this is always a defect of the program. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Throws {@link InvariantError} unless the condition holds.
 *
 * @example
 * checkInvariant(next >= previous, 'revision fell from 7 to 6');
 */
export function checkInvariant(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/**
 * Splits `ip:port`.
 *
 * @example
 * parseAddress('10.0.1.4:8080') // { host: '10.0.1.4', port: 8080 }
 */
export function parseAddress(address: Address): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
