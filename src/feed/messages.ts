/**
 * Checks messages of the feed. Invariant: a message that passes has every field of its kind with the right type,
 * so that a message of another build, or a damaged one, is dropped whole instead of entering a state.
 */
import { isAddress, type Address } from '../model/index.js';
import type { EvidenceRow } from '../rollout/index.js';
import type { AccountCounts, UsageBatch, UsageDelivery, UsageReceipt } from '../usage/index.js';
import { decodeFleetUpdate, type Payload } from './codec.js';
import type { EntryRecord, FeedMessage, FleetUpdate } from './types.js';

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isListOf<T>(value: unknown, isItem: (item: unknown) => item is T): value is readonly T[] {
  return Array.isArray(value) && value.every(isItem);
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isNonNegative(value: unknown): value is number {
  return Number.isFinite(value) && Number(value) >= 0;
}

function isAddressText(value: unknown): value is Address {
  return isText(value) && isAddress(value);
}

function isPayload(value: unknown): value is Payload {
  return Array.isArray(value) && typeof value[0] === 'boolean' && value[1] instanceof Uint8Array;
}

function isEntry(value: unknown): value is EntryRecord {
  return (
    isObject(value) &&
    [value.id, value.zone].every((name) => isText(name) && name !== '') &&
    [value.callerAddress, value.peerAddress].every(isAddressText) &&
    isNonNegative(value.capacity) &&
    typeof value.ready === 'boolean'
  );
}

function isEvidenceRow(value: unknown): value is EvidenceRow {
  return (
    isObject(value) &&
    [value.service, value.version, value.route].every(isText) &&
    Object.values(value).every(
      (field) => isText(field) || isNonNegative(field) || isListOf(field, isNonNegative),
    )
  );
}

function isFleetUpdate(value: unknown): value is FleetUpdate {
  if (!isObject(value) || !isText(value.revision)) return false;
  switch (value.kind) {
    case 'packed':
      return isPayload(value.update);
    case 'whole':
      return isListOf(value.entries, isEntry);
    case 'difference':
      return (
        isText(value.base) && isListOf(value.changed, isEntry) && isListOf(value.removed, isText)
      );
    default:
      return false;
  }
}

function isPair(value: unknown): value is readonly [unknown, unknown] {
  return Array.isArray(value) && value.length === 2;
}

function isAccountCount(value: unknown): value is AccountCounts[number] {
  return isPair(value) && isText(value[0]) && isCount(value[1]);
}

function isUsageBatch(value: unknown): value is UsageBatch {
  return (
    isObject(value) &&
    isCount(value.number) &&
    isListOf(
      value.counts,
      (item): item is UsageBatch['counts'][number] =>
        isPair(item) && isCount(item[0]) && isListOf(item[1], isAccountCount),
    )
  );
}

function isUsageDelivery(value: unknown): value is UsageDelivery {
  if (!isObject(value) || !isText(value.source) || !isListOf(value.batches, isUsageBatch))
    return false;
  // The last number of the list stands for all before it.
  const numbers = value.batches.map(({ number }) => number);
  return numbers.every((number, at) => number > (numbers[at - 1] ?? 0));
}

function isUsageReceipt(value: unknown): value is UsageReceipt {
  return isObject(value) && isText(value.source) && isCount(value.last);
}

function isSilentEntry(value: unknown): value is readonly [string, number] {
  return Array.isArray(value) && isText(value[0]) && isNonNegative(value[1]);
}

function isBase(value: unknown): boolean {
  return isObject(value) && isCount(value.index) && isPayload(value.state);
}

function isOptional(value: unknown, isValid: (value: unknown) => boolean): boolean {
  return value === undefined || isValid(value);
}

function isGroupStatus(message: Fields): boolean {
  return (
    isListOf(message.members, isAddressText) &&
    isOptional(message.membersIndex, isCount) &&
    isOptional(message.index, isCount) &&
    isOptional(message.age, isNonNegative) &&
    isOptional(message.echo, isNonNegative)
  );
}

function isValidMessage(message: Fields): boolean {
  const kind = message.kind as FeedMessage['kind'];
  switch (kind) {
    case 'follow':
      return (
        isEntry(message.entry) &&
        isCount(message.index) &&
        isText(message.fleetRevision) &&
        isListOf(message.evidence, isEvidenceRow) &&
        isOptional(message.sentAt, isNonNegative) &&
        isOptional(message.usage, isUsageDelivery)
      );
    case 'news':
      return (
        typeof message.healthy === 'boolean' &&
        isOptional(message.base, isBase) &&
        isCount(message.after) &&
        isOptional(message.commands, isPayload) &&
        isObject(message.cold) &&
        Object.values(message.cold).every(isNonNegative) &&
        isOptional(message.fleet, isFleetUpdate) &&
        isOptional(message.usage, isUsageReceipt) &&
        isGroupStatus(message)
      );
    case 'followers':
      return (
        isText(message.revision) &&
        isOptional(message.update, isFleetUpdate) &&
        isListOf(message.silent, isSilentEntry)
      );
    case 'evidence':
      return isListOf(message.rows, isEvidenceRow);
    case 'usage':
      return isUsageDelivery(message.delivery);
    case 'found':
      return (
        typeof message.healthy === 'boolean' &&
        typeof message.hasDisk === 'boolean' &&
        isOptional(message.isFounding, (value) => typeof value === 'boolean') &&
        isOptional(message.leader, isAddressText) &&
        isGroupStatus(message)
      );
    case 'find':
      return isOptional(message.sentAt, isNonNegative);
    case 'findFollowers':
      return true;
    default:
      return false;
  }
}

/**
 * Returns the message, or throws if it is none.
 *
 * @example
 * decodeMessage({ kind: 'find' }) // { kind: 'find' }
 */
export function decodeMessage(value: unknown): FeedMessage {
  if (isObject(value) && isValidMessage(value)) return value as unknown as FeedMessage;
  throw new Error('a message of the feed is malformed: run the same build on all VMs');
}

/**
 * Returns the update that a packed one holds, or throws if it holds none.
 *
 * @example
 * resolveFleetUpdate({ kind: 'whole', revision, entries }) // the same update
 */
export function resolveFleetUpdate(update: FleetUpdate): Exclude<FleetUpdate, { kind: 'packed' }> {
  if (update.kind !== 'packed') return update;
  const unpacked = decodeFleetUpdate(update.update);
  if (
    isFleetUpdate(unpacked) &&
    unpacked.kind !== 'packed' &&
    unpacked.revision === update.revision
  )
    return unpacked;
  throw new Error('a list of entries in a message is malformed: run the same build on all VMs');
}
