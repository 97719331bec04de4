/**
 * Handles calls with an idempotency key. Invariant: such a call is only forwarded with a granted claim,
 * and every granted claim is settled.
 */
import type { ServerResponse } from 'node:http';
import type { CallRun } from './call.js';
import { REPLAYED_HEADER } from './headers.js';
import type { ClaimPort, ClaimResult, StoredResponse } from './ports.js';

/** Scopes a key to its service, so that services cannot see each other's responses. */
function buildClaimKey(service: string, key: string): string {
  return `${service}/${key}`;
}

function writeStoredResponse(response: ServerResponse, stored: StoredResponse): void {
  response.sendDate = false;
  response.writeHead(stored.status, [...stored.headers, REPLAYED_HEADER, '1']);
  response.end(stored.body);
}

async function requestClaim(
  claims: ClaimPort,
  key: string,
  digest: string,
  call: CallRun,
): Promise<ClaimResult> {
  try {
    return await claims.claim(key, digest, call.deadline);
  } catch (error) {
    return { kind: 'unavailable', reason: String(error) };
  }
}

/**
 * Claims the call's key; calls `proceed` if the claim is granted, otherwise responds to the caller.
 *
 * @example
 * await claimCall(claims, call, key, digest, response, () => call.enterRouting(fingerprint));
 */
export async function claimCall(
  claims: ClaimPort,
  call: CallRun,
  key: string,
  digest: string,
  response: ServerResponse,
  proceed: () => void,
): Promise<void> {
  const scopedKey = buildClaimKey(call.head.target.service, key);
  const result = await requestClaim(claims, scopedKey, digest, call);
  if (call.hasEnded) {
    if (result.kind === 'granted') claims.settle(scopedKey, result.token, { kind: 'notRun' });
    return;
  }
  switch (result.kind) {
    case 'granted':
      call.attachClaim((settlement) => {
        claims.settle(scopedKey, result.token, settlement);
      }, result.validUntil);
      proceed();
      break;
    case 'running':
      call.refuse({ kind: 'running' });
      break;
    case 'unknown':
      call.refuse({ kind: 'unknown', failure: 'answerLost' });
      break;
    case 'settled':
      writeStoredResponse(response, result);
      call.finish('replayed', result.status);
      break;
    case 'mismatch':
      call.refuse({ kind: 'fault', fault: 'keyMismatch' });
      break;
    case 'unavailable':
      call.refuse({ kind: 'notRun', reason: 'claimUnavailable', retryAfter: 0 });
      break;
  }
}
