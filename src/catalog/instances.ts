/**
 * Registers and removes upstreams. Invariant: an instance that drains, left, or was replaced at its address never
 * becomes ready again with the same start time, and an address belongs to the instance that started there last.
 */
import { isAddress } from '../model/index.js';
import type { Catalog, CatalogCommand, Instance } from './types.js';

/** Maximum number of ended instances that are remembered in order to ignore their late announcements. */
const MAX_REMEMBERED_ENDS = 512;

type AnnounceCommand = Extract<CatalogCommand, { kind: 'announce' }>;
type EndCommand = Extract<CatalogCommand, { kind: 'end' }>;

/** Maximum characters of an id or a name, which travel in headers and in every copy of the catalog. */
const MAX_NAME_LENGTH = 256;
/** Maximum number of requests that an upstream may claim to run concurrently. */
const MAX_SLOTS = 100_000;
/** Visible ASCII characters: an id is sent in a header, where a line break would begin another one. */
const VISIBLE = /^[\x21-\x7e]+$/;

function isUsableName(name: string): boolean {
  // Names are keys of plain objects; those of the object prototype would be found in an empty one.
  return name.length > 0 && name.length <= MAX_NAME_LENGTH && !(name in Object.prototype);
}

/**
 * Returns why an announced instance can't be used, or undefined if it can.
 *
 * @example
 * findInstanceProblem({ ...instance, address: '10.0.1.4:99999' }) // 'the address is not an IPv4 address and port'
 */
export function findInstanceProblem(instance: Instance): string | undefined {
  const { id, service, zone, version, address, slots, bornAt } = instance;
  if (!isUsableName(id) || !VISIBLE.test(id)) return 'the id is not a name of visible characters';
  if (![service, zone, version].every(isUsableName))
    return 'the service, zone or version is empty, too long or reserved';
  if (!isAddress(address)) return 'the address is not an IPv4 address and port';
  if (!Number.isInteger(slots) || slots < 1 || slots > MAX_SLOTS)
    return `the slots are not a number from 1 to ${MAX_SLOTS}`;
  return Number.isSafeInteger(bornAt) ? undefined : 'the start time is not a whole number';
}

function hasEnded(state: Catalog, { id, bornAt }: Instance): boolean {
  return state.ended.some(([ended, at]) => ended === id && at >= bornAt);
}

type Instances = Catalog['instances'];

function dropInstances(instances: Instances, removed: readonly Instance[]): Instances {
  if (removed.length === 0) return instances;
  const kept = new Map(instances);
  removed.forEach(({ id }) => kept.delete(id));
  return kept;
}

function appendEnded(
  state: Catalog,
  removed: readonly Pick<Instance, 'id' | 'bornAt'>[],
): Catalog['ended'] {
  if (removed.length === 0) return state.ended;
  const added = removed.map(({ id, bornAt }) => [id, bornAt] as const);
  return [...state.ended, ...added].slice(-MAX_REMEMBERED_ENDS);
}

/** Returns whether an announcement differs from the state and is not outdated. */
export function isInstanceUpdate(state: Catalog, instance: Instance): boolean {
  const known = state.instances.get(instance.id);
  if (hasEnded(state, instance)) return false;
  if (known === undefined || known.bornAt < instance.bornAt) return true;
  if (known.bornAt > instance.bornAt) return false;
  return (
    (instance.draining && !known.draining) ||
    known.address !== instance.address ||
    known.slots !== instance.slots ||
    known.version !== instance.version ||
    known.zone !== instance.zone ||
    known.service !== instance.service
  );
}

/**
 * Applies an announcement, unless a later start at the same address or with the same id is known. One that drains is
 * remembered even then: the later start may be removed first, and an earlier announcement still be on its way.
 */
export function applyAnnounce(state: Catalog, { instance }: AnnounceCommand): Catalog {
  if (!isInstanceUpdate(state, instance)) return state;
  const others = [...state.instances.values()].filter(
    ({ id, address }) => id !== instance.id && address === instance.address,
  );
  if (others.some(({ bornAt }) => bornAt > instance.bornAt))
    return instance.draining ? { ...state, ended: appendEnded(state, [instance]) } : state;
  const known = state.instances.get(instance.id);
  const isSameStart = known?.bornAt === instance.bornAt;
  const merged = { ...instance, draining: instance.draining || (isSameStart && known.draining) };
  return {
    ...state,
    instances: new Map(dropInstances(state.instances, others)).set(instance.id, merged),
    ended: appendEnded(state, others),
    versions: { [instance.service]: instance.version, ...state.versions },
  };
}

/**
 * Removes an instance. A silent one may announce the same start again, unless it was draining; one that left may not.
 * The leave of a newer start shows that the known one has ended too.
 */
export function applyEnd(state: Catalog, { id, bornAt, cause }: EndCommand): Catalog {
  const known = state.instances.get(id);
  switch (cause) {
    case 'silent': {
      if (known?.bornAt !== bornAt) return state;
      // Earlier starts have ended for good, also those that were never registered.
      const endedAt = known.draining ? bornAt : bornAt - 1;
      const ended = appendEnded(state, [{ id, bornAt: endedAt }]);
      return { ...state, instances: dropInstances(state.instances, [known]), ended };
    }
    case 'left': {
      const hasEnd = known !== undefined && known.bornAt <= bornAt;
      const instances = hasEnd ? dropInstances(state.instances, [known]) : state.instances;
      const isRemembered = state.ended.some(([ended, at]) => ended === id && at >= bornAt);
      if (!hasEnd && isRemembered) return state;
      const ended = [...state.ended, [id, bornAt] as const].slice(-MAX_REMEMBERED_ENDS);
      return { ...state, instances, ended };
    }
  }
}
