/**
 * State machine of the claim protocol for one entry, both as holder and as claimant, without I/O. Invariant:
 * at most one token of a key is granted within the lifetime of a claim, even if messages are lost, delayed
 * or duplicated and processes restart.
 */
import type { Address, EntryId, Instant, Transition } from '../model/index.js';
import type { ClaimsMessage } from '../generated/claims.js';
import { handleClaim, pruneTable, recordSettlement, cancelToken } from './claimant.js';
import {
  advanceHolder,
  finishGrant,
  handleAccepted,
  handleHeld,
  handleSettled,
  renewAttempts,
  startAttempt,
} from './holder.js';
import { emptyTable } from './table.js';
import { advanceTransfer, enterView, handleFetch, handleReport, pruneGaps } from './transfer.js';
import type { ClaimsEffect, ClaimsEvent, ClaimsState, ClaimTimes } from './types.js';

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Identity of an entry in the claim protocol. */
export interface ClaimsSelf {
  readonly id: EntryId;
  readonly incarnation: number;
  readonly peerAddress: Address;
}

/** Creates the initial state of an entry, without a view or claims. */
export function createClaimsState(
  self: ClaimsSelf,
  times: ClaimTimes,
  genesisEpoch: number,
): ClaimsState {
  return {
    ...{ self: self.id, incarnation: self.incarnation, address: self.peerAddress, times },
    ...{ genesisEpoch, view: { epoch: 0, members: [] }, ready: false, basis: undefined },
    ...{
      open: [],
      reported: false,
      recentViews: [],
      transfer: undefined,
      gaps: [],
      table: emptyTable,
    },
    ...{ attempts: new Map(), granted: new Map(), settlements: new Map(), sweepIndex: 0 },
  };
}

/**
 * Applies one event and returns the new state and the effects to perform. If the event changed the epoch,
 * open attempts start again in the new one.
 *
 * @example
 * const { state, effects } = decideClaims(before, { kind: 'ticked', now });
 */
export function decideClaims(state: ClaimsState, event: ClaimsEvent): Step {
  const step = handleEvent(state, event);
  if (step.state.view.epoch === state.view.epoch) return step;
  const renewed = renewAttempts(step.state, event.now);
  return { state: renewed.state, effects: [...step.effects, ...renewed.effects] };
}

function handleEvent(state: ClaimsState, event: ClaimsEvent): Step {
  switch (event.kind) {
    case 'viewChanged':
      return enterView(state, event.view, event.now);
    case 'requested':
      return startAttempt(state, event, event.now);
    case 'ended':
      return finishGrant(state, event.token, event.settlement, event.now);
    case 'received':
      return handleMessage(state, event.from, event.message, event.fresh, event.now);
    case 'ticked':
      return advanceTime(state, event.now);
  }
}

function advanceTime(state: ClaimsState, now: Instant): Step {
  const gaps = state.gaps.length === 0 ? state.gaps : pruneGaps(state.gaps, state.times, now);
  const transferred = advanceTransfer(pruneTable({ ...state, gaps }, now), now);
  const advanced = advanceHolder(transferred.state, now);
  return { state: advanced.state, effects: [...transferred.effects, ...advanced.effects] };
}

function handleMessage(
  state: ClaimsState,
  from: Address,
  message: ClaimsMessage,
  fresh: boolean,
  now: Instant,
): Step {
  switch (message.kind) {
    case 'claim':
      return handleClaim(state, from, message, fresh, now);
    case 'accepted':
      return handleAccepted(state, from, message, now);
    case 'held':
      return handleHeld(state, from, message, now);
    case 'notReady':
      return message.view === undefined
        ? { state, effects: [] }
        : enterView(state, message.view, now);
    case 'withdraw':
      return { state: cancelToken(state, message.key, message.token, now), effects: [] };
    case 'settle': {
      const { key, token } = message;
      const reply = { kind: 'settled', key, token } as const;
      const effects = [{ kind: 'send', to: from, message: reply } as const];
      return { state: recordSettlement(state, message, now), effects };
    }
    case 'settled':
      return handleSettled(state, from, message);
    case 'fetch':
      return handleFetch(state, from, message, now);
    case 'report':
      return handleReport(state, from, message, now);
  }
}
