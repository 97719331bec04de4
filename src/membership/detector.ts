/**
 * Detects failed entries with a SWIM-style failure detector. Invariant: an entry is marked dead only after
 * a direct probe and indirect probes went unanswered and the suspicion timeout has passed.
 */
import type { Address, Instant, Transition } from '../model/index.js';
import { checkInvariant } from '../model/index.js';
import { findByAddress, isAlive, listPeers, markEntry } from './entries.js';
import { buildDelta, computeHash, drainUpdates } from './gossip.js';
import { pickRandom } from './random.js';
import type { EntryState, MembershipEffect, MembershipState } from './types.js';

type Step = Transition<MembershipState, MembershipEffect>;

/** Entries that are asked for an indirect probe of an unresponsive one. */
const INDIRECT_PROBES = 3;

/**
 * Sends a ping that carries pending gossip updates. If the receiver is suspect or worse, its record is always
 * included, so that the receiver can refute it.
 */
export function sendPing(state: MembershipState, to: Address, now: Instant): Step {
  const sequence = state.sequence + 1;
  const drained = drainUpdates({ ...state, sequence }, 1, now);
  const receiver = findByAddress(state, to);
  const receiverRecords =
    receiver === undefined || receiver.record.status === 'alive' ? [] : [receiver.record];
  const others = (drained.delta.entries ?? []).filter(({ id }) => id !== receiver?.record.id);
  const entries = [...receiverRecords, ...others];
  const delta = entries.length > 0 ? { ...drained.delta, entries } : drained.delta;
  const hash = computeHash(state, now);
  const message = { kind: 'ping', sequence, hash, delta } as const;
  return { state: drained.state, effects: [{ kind: 'send', to, message }] };
}

/** Answers a ping; a sender that is suspect or worse gets its record, so that it can refute it. */
export function handlePing(
  state: MembershipState,
  to: Address,
  sequence: number,
  now: Instant,
): Step {
  const sender = findByAddress(state, to)?.record;
  const isSuspected = sender !== undefined && sender.status !== 'alive';
  const delta = isSuspected ? buildDelta(state, [`e:${sender.id}`], now) : {};
  const hash = computeHash(state, now);
  const message = { kind: 'ack', sequence, hash, delta } as const;
  return { state, effects: [{ kind: 'send', to, message }] };
}

/** Ends the probe that an ack belongs to, or forwards the ack to the origin of an indirect probe. */
export function finishProbe(state: MembershipState, sequence: number, now: Instant): Step {
  if (state.probe?.sequence === sequence)
    return { state: { ...state, probe: undefined }, effects: [] };
  const indirectProbe = state.indirectProbes.get(sequence);
  if (indirectProbe === undefined) return { state, effects: [] };
  const indirectProbes = new Map([...state.indirectProbes].filter(([key]) => key !== sequence));
  const hash = computeHash(state, now);
  const message = { kind: 'ack', sequence: indirectProbe.originSequence, hash, delta: {} } as const;
  const effects: readonly MembershipEffect[] = [
    { kind: 'send', to: indirectProbe.origin, message },
  ];
  return { state: { ...state, indirectProbes }, effects };
}

/** Probes a target on behalf of an entry whose direct probe went unanswered. */
export function forwardPing(
  state: MembershipState,
  origin: Address,
  originSequence: number,
  target: Address,
  now: Instant,
): Step {
  const pinged = sendPing(state, target, now);
  const indirectProbe = { origin, originSequence, sentAt: now };
  const indirectProbes = new Map(pinged.state.indirectProbes).set(
    pinged.state.sequence,
    indirectProbe,
  );
  return { state: { ...pinged.state, indirectProbes }, effects: pinged.effects };
}

/** Starts the next probe when it is due; before that, requests indirect probes after a timeout. */
export function advanceProbe(state: MembershipState, now: Instant, random: number): Step {
  const { probe, intervals, schedule } = state;
  if (now - schedule.probedAt >= intervals.probe)
    return startProbe(closeProbe(state, now), now, random);
  if (probe === undefined || probe.indirect || now - probe.sentAt < intervals.probeTimeout)
    return { state, effects: [] };
  return requestIndirectProbes(state, now, random);
}

/** Ends an unanswered probe when the next is due; marks the target suspect if indirect probes were sent. */
function closeProbe(state: MembershipState, now: Instant): MembershipState {
  const { probe } = state;
  if (probe === undefined) return state;
  const marked = probe.indirect ? markEntry(state, probe.target, 'suspect', now) : state;
  return { ...marked, probe: undefined };
}

function startProbe(state: MembershipState, now: Instant, random: number): Step {
  const schedule = { ...state.schedule, probedAt: now };
  const peers = listPeers(state);
  const known = new Set(peers.map(({ record }) => record.id));
  const remaining = state.probeQueue.filter((id) => known.has(id));
  const probeQueue = remaining.length > 0 ? remaining : pickRandom([...known], known.size, random);
  const [target, ...rest] = probeQueue;
  const record = target === undefined ? undefined : state.entries.get(target)?.record;
  if (record === undefined) return { state: { ...state, schedule, probeQueue: [] }, effects: [] };
  const pinged = sendPing({ ...state, schedule, probeQueue: rest }, record.peerAddress, now);
  const { sequence } = pinged.state;
  const probe = { target: record.id, sequence, sentAt: now, indirect: false };
  return { state: { ...pinged.state, probe }, effects: pinged.effects };
}

function requestIndirectProbes(state: MembershipState, now: Instant, random: number): Step {
  const { probe } = state;
  const target = probe === undefined ? undefined : state.entries.get(probe.target)?.record;
  if (probe === undefined || target === undefined) return { state, effects: [] };
  const others = listPeers(state).filter(({ record }) => record.id !== target.id);
  const effects = pickRandom(others, INDIRECT_PROBES, random).map(({ record }) => ({
    ...{ kind: 'send' as const, to: record.peerAddress },
    message: {
      ...{ kind: 'pingRequest' as const, sequence: probe.sequence, target: target.peerAddress },
    },
  }));
  return { state: { ...state, probe: { ...probe, indirect: true } }, effects };
}

/** Marks entries dead whose suspicion timeout has passed, and drops expired indirect probes. */
export function advanceSuspicions(state: MembershipState, now: Instant): MembershipState {
  const due = [...state.entries.values()].filter(
    (entry) => entry.record.status === 'suspect' && isSuspicionExpired(state, entry, now),
  );
  const marked = due.reduce((next, entry) => {
    checkInvariant(
      now - entry.statusSince > state.intervals.suspicion,
      `entry ${entry.record.id} marked dead before its suspicion timeout of ${state.intervals.suspicion} ms`,
    );
    return markEntry(next, entry.record.id, 'dead', now);
  }, state);
  const indirectProbes = [...state.indirectProbes].filter(
    ([, r]) => now - r.sentAt < state.intervals.probe,
  );
  return indirectProbes.length === state.indirectProbes.size
    ? marked
    : { ...marked, indirectProbes: new Map(indirectProbes) };
}

function isSuspicionExpired(state: MembershipState, entry: EntryState, now: Instant): boolean {
  return now - entry.statusSince > state.intervals.suspicion;
}

/**
 * Pings one random address of an entry that is dead or has left or of a seed that is no peer, so that the
 * parts of a partitioned fleet merge after the partition.
 */
export function sendReconnect(state: MembershipState, now: Instant, random: number): Step {
  const known = new Set(listPeers(state).map(({ record }) => record.peerAddress));
  const own = state.entries.get(state.self)?.record.peerAddress;
  const lost = [...state.entries.values()]
    .filter((entry) => !isAlive(entry))
    .map(({ record }) => record.peerAddress);
  const targets = [...new Set([...lost, ...state.seeds])].filter(
    (address) => address !== own && !known.has(address),
  );
  const scheduled = { ...state, schedule: { ...state.schedule, reconnectedAt: now } };
  const [target] = pickRandom(targets, 1, random);
  return target === undefined
    ? { state: scheduled, effects: [] }
    : sendPing(scheduled, target, now);
}
