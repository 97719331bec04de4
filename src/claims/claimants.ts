/**
 * Chooses the claimants of a key and judges which members must be heard. Invariant: a majority of the
 * claimants of a key shares a member with every set that {@link hasMajorityForKey} accepts for it.
 */
import type { View, ViewMember } from '../generated/claims.js';
import { hashText } from './table.js';

/** Entries that record each claim, where the view has as many. */
const CLAIMANT_COUNT = 3;

interface Candidate {
  readonly member: ViewMember;
  readonly hash: number;
}

/** Members of a view that may be claimants, by availability zone. */
type Candidates = readonly (readonly Candidate[])[];

interface ScoredMember {
  readonly member: ViewMember;
  readonly score: number;
}

const candidatesByView = new WeakMap<View, Candidates>();

function findCandidates(view: View): Candidates {
  const found = candidatesByView.get(view);
  if (found !== undefined) return found;
  const active = view.members.filter((member) => member.active);
  const zones = [...new Set(active.map((member) => member.zone))];
  const created = zones.map((zone) =>
    active
      .filter((member) => member.zone === zone)
      .map((member) => ({ member, hash: hashText(member.id) })),
  );
  candidatesByView.set(view, created);
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
  const zones = findCandidates(view);
  const bestOfZones = zones
    .flatMap((zone) => pickHighestScore(zone, keyHash) ?? [])
    .sort(compareScores);
  if (bestOfZones.length >= CLAIMANT_COUNT)
    return bestOfZones.slice(0, CLAIMANT_COUNT).map(({ member }) => member);
  const others = zones
    .flat()
    .filter(({ member }) => bestOfZones.every((leader) => leader.member !== member))
    .map(({ member, hash }) => ({ member, score: computeScore(keyHash, hash) }))
    .sort(compareScores);
  return [...bestOfZones, ...others].slice(0, CLAIMANT_COUNT).map(({ member }) => member);
}

function compareScores(a: ScoredMember, b: ScoredMember): number {
  return b.score - a.score || (a.member.id < b.member.id ? -1 : 1);
}

function pickHighestScore(zone: readonly Candidate[], keyHash: number): ScoredMember | undefined {
  let best: ScoredMember | undefined;
  zone.forEach(({ member, hash }) => {
    const score = computeScore(keyHash, hash);
    const ranked = { member, score };
    if (best === undefined || compareScores(ranked, best) < 0) best = ranked;
  });
  return best;
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
export function hasMajorityForEveryKey(
  view: View,
  hasReported: (member: ViewMember) => boolean,
): boolean {
  const active = view.members.filter((member) => member.active);
  const missing = active.filter((member) => !hasReported(member));
  if (active.length < CLAIMANT_COUNT) return missing.length === 0;
  const zones = new Set(active.map((member) => member.zone));
  const missingZones = new Set(missing.map((member) => member.zone));
  return zones.size >= CLAIMANT_COUNT ? missingZones.size <= 1 : missing.length <= 1;
}

/** Tells whether a majority of the key's claimants was heard, so that any two such sets share a member. */
export function hasMajorityForKey(
  view: View,
  key: string,
  hasReported: (member: ViewMember) => boolean,
): boolean {
  const claimants = chooseClaimants(view, key);
  return claimants.filter(hasReported).length >= countMajority(claimants.length);
}
