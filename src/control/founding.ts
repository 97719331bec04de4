/**
 * Bootstrap of a group. Invariant: a member with an empty data folder takes part only as one of the
 * identities that founded the group, or after the group admitted its new identity. A member that lost its
 * disk therefore never votes a second time in a term under its old identity.
 */
import type { Transition, Address, Instant } from '../model/index.js';
import type { FoundingMessage, MemberId } from '../generated/control.js';
import { toAddress } from './steps.js';

/** Milliseconds between two `hello` messages. */
const HELLO_INTERVAL = 500;
/** Addresses that a joining member asks at most; the latest ones that it learned stay. */
const MAX_ASKED = 32;

/** State of a member that is still forming a group, or of one that belongs to a group. */
export type FoundingState =
  | {
      readonly kind: 'forming';
      readonly self: MemberId;
      readonly members: readonly Address[];
      readonly join: boolean;
      /** Identities of the other forming members, by address, from their `hello` messages. */
      readonly knownIds: ReadonlyMap<Address, MemberId>;
      readonly helloDue: Instant;
      /** Whether the group exists but has not admitted this identity. */
      readonly unadmitted: boolean;
    }
  | {
      readonly kind: 'settled';
      readonly self: MemberId;
      readonly group: string;
      readonly founders: readonly MemberId[];
    };

/** Inputs of {@link decideFounding}. */
export type FoundingEvent =
  | { readonly kind: 'ticked'; readonly now: Instant; readonly newGroup: string }
  | {
      readonly kind: 'messageArrived';
      readonly from: MemberId;
      readonly message: FoundingMessage;
    }
  /** A member of the group sent a consensus message to this identity. */
  | { readonly kind: 'addressed'; readonly group: string }
  /** Another process named the members of the group, which may have been replaced since this one started. */
  | { readonly kind: 'membersFound'; readonly members: readonly Address[] };

/** Side effects that the shell (the I/O layer) performs. */
export type FoundingEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: FoundingMessage }
  | {
      readonly kind: 'settle';
      readonly group: string;
      readonly founders: readonly MemberId[];
    }
  /** A member with a new identity asks to be admitted. */
  | { readonly kind: 'reportJoinRequest'; readonly id: MemberId }
  | { readonly kind: 'reportUnadmitted' };

type FoundingStep = Transition<FoundingState, FoundingEffect>;

/**
 * Computes the bootstrap transition for an event.
 *
 * @example
 * decideFounding(state, { kind: 'ticked', now, newGroup: '5f1e0c9a' });
 */
export function decideFounding(state: FoundingState, event: FoundingEvent): FoundingStep {
  switch (event.kind) {
    case 'ticked':
      return state.kind === 'forming'
        ? handleTick(state, event.now, event.newGroup)
        : { state, effects: [] };
    case 'messageArrived':
      return event.message.kind === 'hello'
        ? handleHello(state, event.from, event.message.join)
        : handleFounded(state, event.message.group, event.message.founders);
    case 'addressed':
      return state.kind === 'forming'
        ? settleGroup(state, event.group, [])
        : { state, effects: [] };
    case 'membersFound':
      return state.kind === 'forming' && state.join
        ? { state: addAsked(state, event.members), effects: [] }
        : { state, effects: [] };
  }
}

type FormingMember = Extract<FoundingState, { kind: 'forming' }>;

function settleGroup(
  state: FormingMember,
  group: string,
  founders: readonly MemberId[],
): FoundingStep {
  return {
    state: { kind: 'settled', self: state.self, group, founders },
    effects: [{ kind: 'settle', group, founders }],
  };
}

/** Founders keep their list, as it decides who founds the group. */
function addAsked(state: FormingMember, found: readonly Address[]): FormingMember {
  const members = [...new Set([...found, ...state.members])].slice(0, MAX_ASKED);
  return { ...state, members };
}

/** Only the member with the lowest address founds the group, so that two sets of founders can't arise. */
function isFounder(state: FormingMember): boolean {
  return [...state.members].sort()[0] === toAddress(state.self);
}

function handleTick(state: FormingMember, now: Instant, newGroup: string): FoundingStep {
  const others = state.members.filter((address) => address !== toAddress(state.self));
  const complete = others.every((address) => state.knownIds.has(address));
  if (!state.join && !state.unadmitted && complete && isFounder(state)) {
    const otherIds = others.flatMap((address) => state.knownIds.get(address) ?? []);
    return settleGroup(state, newGroup, [state.self, ...otherIds].sort());
  }
  if (now < state.helloDue) return { state, effects: [] };
  const message = { kind: 'hello', join: state.join } as const;
  return {
    state: { ...state, helloDue: now + HELLO_INTERVAL },
    effects: others.map((to) => ({ kind: 'send', to, message })),
  };
}

function handleHello(state: FoundingState, from: MemberId, join: boolean): FoundingStep {
  if (state.kind === 'forming') {
    if (join) return { state, effects: [] };
    const knownIds = new Map(state.knownIds).set(toAddress(from), from);
    return { state: { ...state, knownIds }, effects: [] };
  }
  if (join) return { state, effects: [{ kind: 'reportJoinRequest', id: from }] };
  const { group, founders } = state;
  const message = { kind: 'founded', group, founders } as const;
  return { state, effects: [{ kind: 'send', to: toAddress(from), message }] };
}

function handleFounded(
  state: FoundingState,
  group: string,
  founders: readonly MemberId[],
): FoundingStep {
  if (state.kind === 'settled' || state.join) return { state, effects: [] };
  if (founders.includes(state.self)) return settleGroup(state, group, founders);
  const effects = state.unadmitted ? [] : [{ kind: 'reportUnadmitted' } as const];
  return { state: { ...state, unadmitted: true }, effects };
}
