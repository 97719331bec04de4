/**
 * Chooses the claimants of a key and judges which members must be heard. Invariant: a majority of the
 * claimants of a key shares a member with every set that {@link hasKey} accepts for it.
 */
import type { View, ViewMember } from '../generated/claims.js';
import { hashText } from './table.js';

/** Entries that record each claim, where the view has as many. */
const CLAIMANT_COUNT = 3;

/** Members of a view that may be claimants, prepared for choosing. */
interface Candidates {
  readonly members: readonly { readonly member: ViewMember; readonly hash: number }[];
}

const candidatesOf = new WeakMap<View, Candidates>();

function findCandidates(view: View): Candidates {
  const found = candidatesOf.get(view);
  if (found !== undefined) return found;
  const members = view.members
    .filter((member) => member.active)
    .map((member) => ({ member, hash: hashText(member.id) }));
  const created = { members };
  candidatesOf.set(view, created);
  return created;
}

function computeScore(keyHash: number, memberHash: number): number {
  const mixed = Math.imul(keyHash ^ memberHash, 0x9e3779b1);
  const spread = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
  return (spread ^ (spread >>> 13)) >>> 0;
}

/**
 * Chooses the claimants of a key by rendezvous hashing, in different availability zones where there are
 * enough of them.
 *
 * @example
 * chooseClaimants(view, key).map((member) => member.zone) // ['cyberjaya', 'putrajaya', 'shah-alam']
 */
export function chooseClaimants(view: View, key: string): readonly ViewMember[] {
  const keyHash = hashText(key);
  const ranked = findCandidates(view)
    .members.map(({ member, hash }) => ({ member, score: computeScore(keyHash, hash) }))
    .sort((a, b) => b.score - a.score || (a.member.id < b.member.id ? -1 : 1))
    .map(({ member }) => member);
  const bestOfZone = new Map<string, ViewMember>();
  ranked.forEach((member) => {
    if (!bestOfZone.has(member.zone)) bestOfZone.set(member.zone, member);
  });
  const spread = [...bestOfZone.values()];
  const others = ranked.filter((member) => !spread.includes(member));
  return [...spread, ...others].slice(0, CLAIMANT_COUNT);
}

/** Returns how many of the claimants must record a claim. */
export function countMajority(claimants: number): number {
  return Math.floor(claimants / 2) + 1;
}

/** Finds the member that is this very process. */
export function findMember(view: View, id: string, incarnation: number): ViewMember | undefined {
  return view.members.find((member) => member.id === id && member.incarnation === incarnation);
}

/**
 * Tells whether enough claimants were heard for every key there can be: those missing are in a single
 * availability zone out of three or more, or are a single member.
 */
export function hasEveryKey(view: View, hears: (member: ViewMember) => boolean): boolean {
  const voters = view.members.filter((member) => member.active);
  const missing = voters.filter((member) => !hears(member));
  if (voters.length < CLAIMANT_COUNT) return missing.length === 0;
  const zones = new Set(voters.map((member) => member.zone));
  const missingZones = new Set(missing.map((member) => member.zone));
  return zones.size >= CLAIMANT_COUNT ? missingZones.size <= 1 : missing.length <= 1;
}

/** Tells whether a majority of the key's claimants was heard, so that any two such sets share a member. */
export function hasKey(view: View, key: string, hears: (member: ViewMember) => boolean): boolean {
  const claimants = chooseClaimants(view, key);
  return claimants.filter(hears).length >= countMajority(claimants.length);
}
