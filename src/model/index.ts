/**
 * Types and helpers that all packages share. Invariant: each value is immutable and unchanged by encoding and
 * decoding, so it can be sent, stored and compared by content.
 */
export { createSteadyClock } from './clock.js';

/** A time in milliseconds on the monotonic clock of the process that read it. */
export type Instant = number;
/** A duration in milliseconds. */
export type Duration = number;
/** The number of a committed configuration; it only increases. */
export type Revision = number;
/** The stable name of an entry process, unique in the fleet. */
export type EntryId = string;
/** The name of an availability zone. */
export type ZoneId = string;
/** An IP address and port, `ip:port`. */
export type Address = string;
/** Operator-visible key and value pairs on an upstream. */
export type Labels = Readonly<Record<string, string>>;

/** Priority that a caller assigns to a call; `batch` calls are shed before `interactive` ones. */
export type Criticality = 'interactive' | 'batch';

/** An upstream as it announced itself. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly zone: ZoneId;
  readonly labels: Labels;
  readonly address: Address;
  /** Maximum number of requests that it runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections that it accepts from all entries together. */
  readonly maxConnections: number;
  /** Increases at each start of the upstream process. */
  readonly incarnation: number;
  /** Whether it announced that it is leaving. */
  readonly leaving: boolean;
  /** Milliseconds since it started, as known when the record was created. */
  readonly age: Duration;
}

/** Matches upstreams by label; `service`, `version`, `zone` and `id` are implied labels of each upstream. */
export interface Selector {
  readonly match: Labels;
}

/** Traffic share of one version of a service, set by a version move. */
export interface VersionWeight {
  readonly service: string;
  /** The version that receives `share`; all other versions split the rest. */
  readonly version: string;
  /** From 0 to 1. */
  readonly share: number;
}

/** An entry in the committed roster. */
export interface RosterMember {
  readonly id: EntryId;
  readonly zone: ZoneId;
  /** The address of its peer listener. */
  readonly peerAddress: Address;
  /** The address that callers connect to. */
  readonly callerAddress: Address;
  /** Increases at each start of the entry process. */
  readonly incarnation: number;
  /** A joining member counts when limits are divided among the entries but may not use its share yet. */
  readonly phase: 'joining' | 'active' | 'leaving';
}

/** The committed set of entries; `epoch` increases with each change of members. */
export interface Roster {
  readonly epoch: number;
  readonly members: readonly RosterMember[];
}

/** The configuration that operators requested and the control processes committed; entries apply it. */
export interface Config {
  readonly revision: Revision;
  readonly zonesOut: readonly ZoneId[];
  readonly leaving: readonly Selector[];
  readonly weights: readonly VersionWeight[];
  readonly roster: Roster;
}

/** The configuration before the first commit. */
export const emptyConfig: Config = {
  revision: 0,
  zonesOut: [],
  leaving: [],
  weights: [],
  roster: { epoch: 0, members: [] },
};

/** The load report that an upstream's response carries. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly cold: boolean;
}

/** The state after an event and the side effects that the shell (the I/O layer) performs. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** Returns the labels of an upstream, including the implied ones, which take precedence. */
export function getLabels(upstream: Upstream): Labels {
  const { id, service, version, zone } = upstream;
  return { ...upstream.labels, id, service, version, zone };
}

/**
 * Returns whether the upstream has every label of the selector with the same value.
 *
 * @example
 * matchSelector({ match: { zone: 'cyberjaya' } }, upstream) // true for upstreams of that zone
 */
export function matchSelector(selector: Selector, upstream: Upstream): boolean {
  const labels = getLabels(upstream);
  return Object.entries(selector.match).every(([key, value]) => labels[key] === value);
}

/** Thrown when an invariant of a package does not hold, which is always a bug. */
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

const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/**
 * Returns whether the text is an IPv4 address and a port that can be connected to.
 *
 * @example
 * isAddress('10.0.1.4:8080') // true
 * isAddress('10.0.1.4:99999') // false
 */
export function isAddress(text: string): boolean {
  const [, ...numbers] = ADDRESS.exec(text) ?? [];
  const port = Number(numbers[4]);
  return (
    numbers.slice(0, 4).every((octet) => Number(octet) <= MAX_OCTET) &&
    port >= 1 &&
    port <= MAX_PORT
  );
}

/**
 * Splits `ip:port` at the last colon.
 *
 * @example
 * parseAddress('10.0.1.4:8080') // { host: '10.0.1.4', port: 8080 }
 */
export function parseAddress(address: Address): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
