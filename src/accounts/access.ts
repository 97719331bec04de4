/**
 * Decides whose request it is and whether it may go on. Invariant: the decision depends only on the arguments; a
 * request to a route that isn't public goes on only by a key of a table that was in force within
 * {@link MAX_KEY_AGE}.
 *
 * The load that it addresses: many accounts on shared routes, whose keys are added and revoked while requests run.
 */
import type { ClientAccount, Route } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import type { AccountIndex, Credential } from './keys.js';

/**
 * Age in milliseconds of a state up to which its keys count, unless it counts as current anyway. A revoked key has to
 * stop working within 5 s of the acknowledgement; half a second is left for the probes before a request is sent.
 */
export const MAX_KEY_AGE: Duration = 4500;

/** What a request's key allows. */
export type Access =
  /** No accounts are configured; the request goes on as it came. */
  | { readonly kind: 'open' }
  /** The route is public, and the key is missing or not known. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'account'; readonly account: ClientAccount }
  /** The route needs a key, and the request carries none that is known. */
  | { readonly kind: 'denied'; readonly cause: 'missingKey' | 'malformedKey' | 'unknownKey' }
  /** The route needs a key, and the one of the request may have been revoked since. */
  | { readonly kind: 'unsure' };

/** How certain it is that the table is in force. */
export interface TableCertainty {
  /** Whether the state counts as current, by the setting of the operators. */
  readonly isFresh: boolean;
  /** Milliseconds since the state was certainly current. */
  readonly age: Duration;
}

const denialCauses = {
  missing: 'missingKey',
  malformed: 'malformedKey',
  key: 'unknownKey',
} as const;

/**
 * Returns what a request's key allows on a route.
 *
 * @example
 * decideAccess(index, route, { kind: 'missing' }, { isFresh: true, age: 80 }) // { kind: 'denied', cause: 'missingKey' }
 */
export function decideAccess(
  index: AccountIndex,
  { isPublic = false }: Pick<Route, 'isPublic'>,
  credential: Credential,
  { isFresh, age }: TableCertainty,
): Access {
  if (index === undefined) return { kind: 'open' };
  const account = credential.kind === 'key' ? index.get(credential.key) : undefined;
  const isInForce = isFresh || age <= MAX_KEY_AGE;
  if (account !== undefined && isInForce) return { kind: 'account', account };
  if (isPublic) return { kind: 'anonymous' };
  return account === undefined
    ? { kind: 'denied', cause: denialCauses[credential.kind] }
    : { kind: 'unsure' };
}

/** Whether a request with this access may be sent. */
export function isGranted(
  access: Access,
): access is Extract<Access, { kind: 'open' | 'anonymous' | 'account' }> {
  switch (access.kind) {
    case 'open':
    case 'anonymous':
    case 'account':
      return true;
    case 'denied':
    case 'unsure':
      return false;
  }
}
