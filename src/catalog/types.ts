/**
 * The agreed state that entries route by. Invariant: every value is immutable and made of plain data, so
 * that each process which applies the same commands holds the same state.
 */
import type { Address, Duration, ZoneId } from '../model/index.js';

/** What may be repeated: `safe` and `download` requests may run more than once, `unsafe` ones may not. */
export type RouteKind = 'safe' | 'unsafe' | 'download';

/** One part of a route's traffic. */
export interface RoutePart {
  readonly service: string;
  /** Share of the traffic, relative to the other parts. */
  readonly weight: number;
}

/** The way of requests with this host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer. */
  readonly timeout: Duration;
  /** Time within which an answer has its full value. */
  readonly targetLatency: Duration;
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly parts: readonly RoutePart[];
  /** The item as the operator wrote it; reads return it unchanged. */
  readonly source: unknown;
}

/** What all upstreams of a service have in common. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all callers. */
  readonly maxConnections: number;
  /** Time for which an upstream is cold after its start. */
  readonly coldTime: Duration;
  /** Requests a second that a cold upstream bears. */
  readonly coldRate: number;
  readonly source: unknown;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** Longest time for sending a head. */
  readonly headTimeout: Duration;
  /** Longest time that a kept connection may be idle. */
  readonly idleTimeout: Duration;
  readonly source: unknown;
}

/** The routes, services and limits in force. */
export interface RouteTable {
  /** The operators' own number; it rises with each accepted change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Further top-level items as the operator wrote them. */
  readonly extra: Readonly<Record<string, unknown>>;
}

/** Named items to add or replace, and names to remove. */
export interface RoutePatch {
  readonly version: number;
  readonly upsert: {
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly limits: CallerLimits | undefined;
  };
  readonly remove: {
    readonly routes: readonly string[];
    readonly services: readonly string[];
  };
}

/** One start of an upstream process. */
export interface Instance {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly zone: ZoneId;
  /** Version of its software. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Unix time of its start in milliseconds; tells apart two starts under one id. */
  readonly bornAt: number;
  readonly draining: boolean;
}

/** Outcome of moving a service's traffic to another version. */
export type MoveState = 'running' | 'completed' | 'rolledBack';

/** The latest move of a service's traffic to another version. */
export interface TrafficMove {
  readonly service: string;
  readonly version: string;
  /** Unix time of the order in milliseconds, by the clock of the leader that took it. */
  readonly orderedAt: number;
  readonly duration: Duration;
  readonly state: MoveState;
  /** Share of the service's requests for the new version, from 0 to 1. */
  readonly share: number;
}

/** The whole agreed state. */
export interface Catalog {
  readonly table: RouteTable | undefined;
  /** Digests of the accepted changes by version, the newest last. */
  readonly accepted: readonly (readonly [version: number, digest: string])[];
  readonly instances: Readonly<Record<string, Instance>>;
  /** Start times of ended instances by id, the newest last; a late announcement of them is ignored. */
  readonly ended: readonly (readonly [id: string, bornAt: number])[];
  readonly moves: Readonly<Record<string, TrafficMove>>;
  /** The version of each service that serves while no move says otherwise. */
  readonly versions: Readonly<Record<string, string>>;
  readonly zonesOut: readonly ZoneId[];
}

/** A change of the agreed state. */
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
  /** `coldFor` is how much longer the instance stays cold, in milliseconds. */
  | { readonly kind: 'announce'; readonly instance: Instance; readonly coldFor: Duration }
  | { readonly kind: 'end'; readonly id: string; readonly bornAt: number; readonly cause: EndCause }
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
  | { readonly kind: 'setZone'; readonly zone: ZoneId; readonly out: boolean };

/** Why an instance counts as ended: it said so, or it fell silent. */
export type EndCause = 'left' | 'silent';

/** What became of a command. */
export type CatalogOutcome =
  | { readonly kind: 'done' }
  /** The change builds on a version that is not the current one. */
  | { readonly kind: 'stale'; readonly current: number }
  | { readonly kind: 'invalid'; readonly reason: string };
