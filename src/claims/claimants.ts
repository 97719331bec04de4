/**
 * Chooses the claimants of a key and checks whether enough of them have reported. Invariant: every majority
 * of a key's claimants shares a member with every set of members that {@link hasMajorityForKey} accepts.
 */
import type { View, ViewMember } from '../generated/claims.js';
import { hashText } from './table.js';

/** Claimants of each key; all active members if the view has fewer. */
const CLAIMANT_COUNT = 3;

interface Candidate {
  readonly member: ViewMember;
  readonly hash: number;
}

/** Active members of a view, grouped by availability zone. */
type Candidates = readonly (readonly Candidate[])[];

interface ScoredMember {
  readonly member: ViewMember;
  readonly score: number;
}

/** Caches the candidates of each view, because every claim needs them. */
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
 * Chooses the claimants of a key by rendezvous hashing: the member with the highest score of each
 * availability zone, from the three best zones. With fewer zones, the best other members fill the set.
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

/** Returns the size of a majority of this many claimants. */
export function countMajority(claimants: number): number {
  return Math.floor(claimants / 2) + 1;
}

/** Finds the member with this id and incarnation; a restarted process has a new incarnation. */
export function findMember(view: View, id: string, incarnation: number): ViewMember | undefined {
  return view.members.find((member) => member.id === id && member.incarnation === incarnation);
}

/**
 * Returns whether a majority of the claimants of every possible key has reported. This holds if all missing
 * members are in one availability zone of three or more, or if a single member is missing. With fewer active
 * members than a key has claimants, none may be missing.
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

/** Returns whether a majority of the key's claimants has reported; any two majorities share a member. */
export function hasMajorityForKey(
  view: View,
  key: string,
  hasReported: (member: ViewMember) => boolean,
): boolean {
  const claimants = chooseClaimants(view, key);
  return claimants.filter(hasReported).length >= countMajority(claimants.length);
}
