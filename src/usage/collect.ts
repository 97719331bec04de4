/**
 * Plans the usage command of the leader. Invariant: a command holds only batches after those that are committed, and
 * seals a window only once the gateways had time to send its counts.
 */
import type { Duration, Instant } from '../model/index.js';
import { addWindowCounts, buildLastBatches, getLastBatch, isWindowSealed } from './state.js';
import type {
  SourceRange,
  UsageBatch,
  UsageCommand,
  UsageDelivery,
  UsageState,
  WindowCounts,
} from './types.js';

/** Milliseconds after the end of a window when it is sealed; reports are due 10 s after the end. */
export const SEAL_DELAY: Duration = 5000;
/**
 * Milliseconds for which a leader collects before it seals. Gateways send again what isn't committed after 900 ms, and
 * one whose member is gone follows another after a second or so; 1.5 s lost a third of a window where leaders changed
 * every second.
 */
export const COLLECT_TIME: Duration = 2500;
/**
 * Milliseconds without counts of a window before that is sealed: a leader whose clock is ahead would seal a window in
 * use.
 */
const QUIET_TIME: Duration = 1500;

/** When counts of a window came to this leader. */
interface WindowSight {
  readonly firstAt: Instant;
  readonly lastAt: Instant;
}

/** What the leader has collected and is not known to be committed. */
export interface Collected {
  readonly batches: ReadonlyMap<string, readonly UsageBatch[]>;
  readonly sights: ReadonlyMap<number, WindowSight>;
}

/** Nothing collected. */
export const emptyCollected: Collected = { batches: new Map(), sights: new Map() };

/**
 * Adds a delivery. Batches that came before are ignored, also for the time of their windows' last counts.
 *
 * @example
 * addDelivery(emptyCollected, { source: 'gw-1/5f0e', batches: [{ number: 1, counts }] }, undefined, now)
 */
export function addDelivery(
  collected: Collected,
  { source, batches }: UsageDelivery,
  usage: UsageState | undefined,
  now: Instant,
): Collected {
  const known = collected.batches.get(source) ?? [];
  const last = known.at(-1)?.number ?? getLastBatch(usage, source);
  const added = batches.filter(({ number }) => number > last);
  if (added.length === 0) return collected;
  const sights = new Map(collected.sights);
  added
    .flatMap(({ counts }) => counts)
    .forEach(([window]) => {
      sights.set(window, { firstAt: sights.get(window)?.firstAt ?? now, lastAt: now });
    });
  return {
    batches: new Map(collected.batches).set(source, [...known, ...added]),
    sights,
  };
}

/** Drops the batches that are committed, and the sights of windows that are neither open nor collected. */
export function dropCommitted(collected: Collected, usage: UsageState | undefined): Collected {
  const lastBatches = buildLastBatches(usage);
  const batches = new Map(
    [...collected.batches]
      .map(([source, list]) => {
        const last = lastBatches.get(source) ?? 0;
        return [source, list.filter(({ number }) => number > last)] as const;
      })
      .filter(([, list]) => list.length > 0),
  );
  const open = usage?.windows.filter(({ isSealed }) => !isSealed).map(({ window }) => window) ?? [];
  const collectedWindows = [...batches.values()]
    .flat()
    .flatMap(({ counts }) => counts.map(([window]) => window));
  const used = new Set([...open, ...collectedWindows]);
  return { batches, sights: new Map([...collected.sights].filter(([window]) => used.has(window))) };
}

/** What {@link planRecord} depends on besides the collected batches. */
export interface RecordSituation {
  readonly usage: UsageState | undefined;
  readonly windowMs: Duration;
  readonly now: Instant;
  /** Unix time in milliseconds. */
  readonly wallNow: number;
  readonly ledSince: Instant;
  /** Windows that the platform has accepted and the state lists. */
  readonly reported: readonly number[];
}

function isSealDue(
  window: number,
  { sights }: Collected,
  { windowMs, now, wallNow, ledSince }: RecordSituation,
): boolean {
  if (now - ledSince < COLLECT_TIME || wallNow < (window + 1) * windowMs + SEAL_DELAY) return false;
  const sight = sights.get(window);
  // Requests that end late may keep a window in use; its report is due all the same.
  const isOverdue = sight !== undefined && now - sight.firstAt >= windowMs + SEAL_DELAY;
  return sight === undefined || isOverdue || now - sight.lastAt >= QUIET_TIME;
}

/**
 * Returns the next command, or undefined if there is nothing to commit.
 *
 * @example
 * planRecord(collected, { usage, windowMs: 5000, now, wallNow, ledSince, reported: [] })
 */
export function planRecord(
  collected: Collected,
  situation: RecordSituation,
): Extract<UsageCommand, { kind: 'recordUsage' }> | undefined {
  const { usage, reported } = situation;
  const { batches } = dropCommitted(collected, usage);
  const lastBatches = buildLastBatches(usage);
  const counts = [...batches.values()]
    .flat()
    .reduce<WindowCounts>((sum, batch) => addWindowCounts(sum, batch.counts), []);
  const sources = [...batches].map(([source, list]): SourceRange => {
    const base = lastBatches.get(source) ?? 0;
    return [source, base, list.at(-1)?.number ?? base];
  });
  const open = usage?.windows.filter(({ isSealed }) => !isSealed).map(({ window }) => window) ?? [];
  const added = counts
    .map(([window]) => window)
    .filter((window) => usage === undefined || !isWindowSealed(usage, window));
  const seals = [...new Set([...open, ...added])]
    .filter((window) => isSealDue(window, collected, situation))
    .sort((one, two) => one - two);
  const isEmpty = sources.length === 0 && seals.length === 0 && reported.length === 0;
  return isEmpty ? undefined : { kind: 'recordUsage', counts, sources, seals, reported };
}
