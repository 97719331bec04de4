/**
 * Types of the replicated state that entries route by. Invariant: every value is immutable and consists of plain
 * data, so that all processes that apply the same commands hold the same state.
 */
import type { Address, Duration, ZoneId } from '../model/index.js';
import type { UsageCommand, UsageState } from '../usage/index.js';

/**
 * What requests do and carry: `safe` and `download` requests may run more than once, `unsafe` and `upload` ones may
 * not; a `download` has a large response, an `upload` a large request body.
 */
export type RouteKind = 'safe' | 'unsafe' | 'download' | 'upload';

/** A service that gets part of a route's traffic. */
export interface RoutePart {
  readonly service: string;
  /** Share of the traffic, relative to the other parts. */
  readonly weight: number;
}

/** Routing of the requests that match a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer, in milliseconds. */
  readonly timeout: Duration;
  /** Milliseconds within which an answer is fast enough to have its full value. */
  readonly targetLatency: Duration;
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority of the route; 0 is the most urgent. */
  readonly rank: number;
  readonly parts: readonly RoutePart[];
  /** Whether requests need no key of a client account; absent means false, as in routes stored by earlier builds. */
  readonly isPublic?: boolean | undefined;
  /** The item as submitted by the operator; reads return it unchanged. */
  readonly source: unknown;
}

/** Settings that all upstreams of a service share. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  /** Milliseconds for which an upstream is cold after its start. */
  readonly coldTime: Duration;
  /** Requests per second that a cold upstream can handle. */
  readonly coldRate: number;
  readonly source: unknown;
}

/** A client account, which callers name by one of its keys. */
export interface ClientAccount {
  readonly name: string;
  /** The keys that are in force; an account without keys serves nobody. */
  readonly keys: readonly string[];
  /** Priority of the account's requests instead of the route's; undefined if the route's applies. */
  readonly rank: number | undefined;
  readonly source: unknown;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** Longest time for sending a request head, in milliseconds. */
  readonly headTimeout: Duration;
  /** Longest time that a keep-alive connection may be idle, in milliseconds. */
  readonly idleTimeout: Duration;
  readonly source: unknown;
}

/** The routes, services and limits in force. */
export interface RouteTable {
  /** Version number set by the operator; each accepted change increases it, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /**
   * The client accounts; absent if the configuration has no such list, so that requests need no key. An empty list
   * leaves no key in force.
   */
  readonly accounts?: readonly ClientAccount[] | undefined;
  /** Further top-level items as submitted by the operator. */
  readonly extra: Readonly<Record<string, unknown>>;
}

/** A partial change of a route table: items to add or replace by name, and names to remove. */
export interface RoutePatch {
  readonly version: number;
  readonly upsert: {
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly limits: CallerLimits | undefined;
    /** Absent in changes stored by earlier builds. */
    readonly accounts?: readonly ClientAccount[] | undefined;
  };
  readonly remove: {
    readonly routes: readonly string[];
    readonly services: readonly string[];
    /** Names of accounts; absent in changes stored by earlier builds. */
    readonly accounts?: readonly string[] | undefined;
  };
}

/** One start of an upstream process. */
export interface Instance {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly zone: ZoneId;
  /** Version of the upstream's software. */
  readonly version: string;
  /** Number of requests that the upstream runs concurrently. */
  readonly slots: number;
  /** Unix time of the start in milliseconds; distinguishes starts with the same id. */
  readonly bornAt: number;
  readonly draining: boolean;
}

/** State of moving a service's traffic to another version. */
export type MoveState = 'running' | 'completed' | 'rolledBack';

/** The latest move of a service's traffic to another version. */
export interface TrafficMove {
  readonly service: string;
  readonly version: string;
  /** Unix time of the order in milliseconds, by the clock of the leader that accepted it. */
  readonly orderedAt: number;
  readonly duration: Duration;
  readonly state: MoveState;
  /** Share of the service's requests for the new version, from 0 to 1. */
  readonly share: number;
}

/** The whole replicated state. */
export interface Catalog {
  readonly table: RouteTable | undefined;
  /** Versions and digests of the accepted changes, newest last. */
  readonly accepted: readonly (readonly [version: number, digest: string])[];
  /** The upstreams by id. Copying a map is several times faster than copying an object of this size. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** Ids and start times of ended instances, newest last; their late announcements are ignored. */
  readonly ended: readonly (readonly [id: string, bornAt: number])[];
  readonly moves: Readonly<Record<string, TrafficMove>>;
  /** The version of each service that serves while no move is running. */
  readonly versions: Readonly<Record<string, string>>;
  readonly zonesOut: readonly ZoneId[];
  /** The usage reports; absent before the first usage command, and at gateways. */
  readonly usage?: UsageState;
}

/** A command that changes the replicated state. */
export type CatalogCommand =
  | {
      readonly kind: 'replaceRoutes';
      readonly base: number;
      readonly digest: string;
      readonly table: RouteTable;
    }
  | {
      readonly kind: 'patchRoutes';
      readonly base: number;
      readonly digest: string;
      readonly patch: RoutePatch;
    }
  /** Registers or updates an instance; `coldFor` is the remaining cold time in milliseconds. */
  | { readonly kind: 'announce'; readonly instance: Instance; readonly coldFor: Duration }
  | { readonly kind: 'end'; readonly id: string; readonly bornAt: number; readonly cause: EndCause }
  /** Marks an instance as cold for another `coldFor` milliseconds. */
  | {
      readonly kind: 'chill';
      readonly id: string;
      readonly bornAt: number;
      readonly coldFor: Duration;
    }
  | {
      readonly kind: 'startMove';
      readonly service: string;
      readonly version: string;
      readonly duration: Duration;
      readonly now: number;
    }
  | {
      readonly kind: 'stepMove';
      readonly service: string;
      readonly version: string;
      readonly orderedAt: number;
      readonly share: number;
      readonly state: MoveState;
    }
  | { readonly kind: 'setZone'; readonly zone: ZoneId; readonly out: boolean }
  | UsageCommand;

/** Why an instance ended: it announced that it leaves, or it stopped announcing itself. */
export type EndCause = 'left' | 'silent';

/** Result of a command. */
export type CatalogOutcome =
  | { readonly kind: 'done' }
  /** The change is based on a version other than the current one. */
  | { readonly kind: 'stale'; readonly current: number }
  | { readonly kind: 'invalid'; readonly reason: string };
