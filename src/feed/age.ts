/**
 * The age of a follower's state, and what others report of theirs. Invariant: a state counts as current only up to an
 * instant that another process's answer proves; the time at which an answer is read proves nothing, as a process that
 * was paused reads old answers when it wakes.
 */
import type { Address, Duration, Instant } from '../model/index.js';

/** Milliseconds for which a report of another process's state is used. */
const REPORT_TTL: Duration = 2000;
/** Number of reports that are kept, the latest ones. */
const MAX_REPORTS = 32;

/** What another process reported of its state. Instants are those of this process's steady clock. */
export interface StateReport {
  /** Age of its state as it sent the report, in milliseconds; undefined if it doesn't know. */
  readonly age: Duration | undefined;
  /** When the request was sent that the report answers; it can't be older. */
  readonly askedAt: Instant;
}

/** The state's age and the others' reports. */
export interface AgeState {
  /** This process's start; an echo of an earlier instant answers a process before it at the same address. */
  readonly startedAt: Instant;
  /** The latest instant at which the state is proved to have been current. */
  readonly asOf: Instant;
  readonly reports: ReadonlyMap<Address, StateReport>;
}

/** What an answer tells of its sender's state. */
export interface StateAnswer {
  readonly from: Address;
  readonly now: Instant;
  /** When this process sent the request that the sender had received. */
  readonly echo: Instant | undefined;
  readonly age: Duration | undefined;
  /** Index of the sender's state. */
  readonly index: number;
}

/** Returns the age of a process that has no state yet. */
export function createAge(startedAt: Instant): AgeState {
  return { startedAt, asOf: -Infinity, reports: new Map() };
}

/**
 * Records an answer. The sender's state was current `age` before it answered, which was after `echo`; so this
 * process's was, if it has applied everything that the sender has.
 *
 * @example
 * recordAnswer(state, { from, now: 5000, echo: 4900, age: 200, index: 17 }, 17).asOf // 4700
 */
export function recordAnswer(state: AgeState, answer: StateAnswer, ownIndex: number): AgeState {
  const { from, now, echo, age, index } = answer;
  if (echo === undefined || echo < state.startedAt || echo > now) return state;
  const others = [...state.reports].filter(([address]) => address !== from);
  const report = { age, askedAt: echo };
  const reports = new Map([...others, [from, report] as const].slice(-MAX_REPORTS));
  if (age === undefined || ownIndex === 0 || ownIndex < index) return { ...state, reports };
  return { ...state, reports, asOf: Math.max(state.asOf, echo - age) };
}

/** Returns the age of the state in milliseconds; Infinity if no answer has proved one. */
export function computeAge(state: AgeState, now: Instant): Duration {
  return now - state.asOf;
}

/**
 * Returns whether a report of the last seconds names a fresh state while this one is stale. A newer state that is stale
 * too doesn't count: when all control members are gone at once, some followers have entries that others lack.
 */
export function isBehindOthers(state: AgeState, now: Instant, freshFor: Duration): boolean {
  if (computeAge(state, now) <= freshFor) return false;
  return [...state.reports.values()].some(({ age, askedAt }) => {
    const elapsed = now - askedAt;
    return elapsed <= REPORT_TTL && age !== undefined && age + elapsed <= freshFor;
  });
}

/**
 * Returns whether no other process has answered a request of the last seconds in time. Answers that come later prove
 * nothing, but their senders are there: it is this process that is slow to hear of them.
 */
export function isUnanswered(state: AgeState, now: Instant): boolean {
  return ![...state.reports.values()].some(({ askedAt }) => now - askedAt <= REPORT_TTL);
}
