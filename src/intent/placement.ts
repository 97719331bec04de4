/**
 * Applies the commands that take zones and upstreams out of service and bring them back. Invariant: both
 * lists stay sorted and free of duplicates.
 */
import type { Selector, ZoneId } from '../model/index.js';
import {
  MAX_LEAVING,
  MAX_ZONES_OUT,
  refuseChange,
  type Change,
  type IntentState,
  type LastChange,
} from './state.js';
import { formatSelector } from './text.js';

/** Returns the last change of a subject, or undefined if there was none or it has been evicted. */
export function findLastChange(state: IntentState, subject: string): LastChange | undefined {
  return state.touches.find((change) => change.subject === subject);
}

/**
 * Returns the revision at which a subject was last changed. For an unknown subject this is the newest
 * evicted revision, since an evicted change can't be later than that.
 */
export function getLastChangeRevision(state: IntentState, subject: string): number {
  return findLastChange(state, subject)?.revision ?? state.forgottenTouch;
}

/** Takes a zone out of service. */
export function applyZoneOut(state: IntentState, zone: ZoneId): Change {
  if (state.zonesOut.includes(zone)) {
    return { kind: 'unchanged', revision: getLastChangeRevision(state, `zone ${zone}`) };
  }
  if (state.zonesOut.length >= MAX_ZONES_OUT) {
    return refuseChange('tooMany', `bring one of the ${MAX_ZONES_OUT} zones back that are out`);
  }
  return { kind: 'changed', state: { ...state, zonesOut: [...state.zonesOut, zone].sort() } };
}

/** Brings a zone back into service. */
export function applyZoneIn(state: IntentState, zone: ZoneId): Change {
  if (!state.zonesOut.includes(zone)) {
    return { kind: 'unchanged', revision: getLastChangeRevision(state, `zone ${zone}`) };
  }
  const zonesOut = state.zonesOut.filter((other) => other !== zone);
  return { kind: 'changed', state: { ...state, zonesOut } };
}

/** Marks the upstreams that match the selector as leaving. */
export function applyUpstreamsLeave(state: IntentState, selector: Selector): Change {
  const text = formatSelector(selector);
  if (state.leaving.some((other) => formatSelector(other) === text)) {
    return { kind: 'unchanged', revision: getLastChangeRevision(state, `upstreams ${text}`) };
  }
  if (state.leaving.length >= MAX_LEAVING) {
    return refuseChange('tooMany', `let some of the ${MAX_LEAVING} selected upstreams stay first`);
  }
  const leaving = [...state.leaving, selector].sort((one, two) =>
    formatSelector(one) < formatSelector(two) ? -1 : 1,
  );
  return { kind: 'changed', state: { ...state, leaving } };
}

/** Removes the leaving mark that was set with the same selector. */
export function applyUpstreamsStay(state: IntentState, selector: Selector): Change {
  const text = formatSelector(selector);
  const leaving = state.leaving.filter((other) => formatSelector(other) !== text);
  if (leaving.length === state.leaving.length) {
    return { kind: 'unchanged', revision: getLastChangeRevision(state, `upstreams ${text}`) };
  }
  return { kind: 'changed', state: { ...state, leaving } };
}
