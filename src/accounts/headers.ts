/**
 * Prepares the header fields of a request for its upstream. Invariant: where accounts are configured, no field holds a key,
 * and the name of the account is the gateway's own, whatever the caller sent.
 */
import { listForwardableHeaders, type HeaderList } from '../http1/index.js';
import type { Access } from './access.js';

/** Names of the header fields, in lower case. */
export interface AccountFieldNames {
  readonly authorization: string;
  readonly tenant: string;
}

/**
 * Returns the header fields that a request is sent with. Fields that `Connection` lists are dropped before the account
 * is added: a caller that lists the account's field there could otherwise have it dropped later.
 *
 * @example
 * replaceAccountFields([['Authorization', 'Bearer k-1']], { kind: 'account', account }, names) // [['x-tenant', 'sese880']]
 */
export function replaceAccountFields(
  headers: HeaderList,
  access: Access,
  { authorization, tenant }: AccountFieldNames,
): HeaderList {
  switch (access.kind) {
    case 'open':
      return headers;
    case 'anonymous':
    case 'denied':
    case 'unsure':
      return listForwardableHeaders(headers, new Set([authorization, tenant]));
    case 'account':
      return [
        ...listForwardableHeaders(headers, new Set([authorization, tenant])),
        [tenant, access.account.name],
      ];
  }
}
