/**
 * The replicated state of the usage reports. Invariant: each batch is counted once, the counts of a sealed window never
 * change, and a token belongs to one VM. No clock decides here, so that a clock that jumps can't drop windows.
 */
import type {
  AccountCounts,
  UsageCommand,
  UsageState,
  UsageWindow,
  WindowCounts,
} from './types.js';

/** Windows that wait for their report; a minute of 5 s windows. Later reports are of no use to the platform. */
const MAX_SEALED_WINDOWS = 12;
/** Windows that are open: those of the present, and room for gateways whose clocks are wrong. */
const MAX_OPEN_WINDOWS = 12;
/** Remembered seals, of several minutes: batches that are repeated come within seconds. */
const MAX_REMEMBERED_SEALS = 64;
/** Usage commands, one a second at most, after which a gateway start that sent nothing is dropped. */
const SOURCE_LIFETIME = 60;
/** Gateway starts that are remembered, several for each gateway of a large site. */
const MAX_SOURCES = 1024;

/** The state before the first command. */
export const emptyUsage: UsageState = {
  ...{ token: 0, holder: '', windows: [], sealed: [], sources: [] },
  ...{ commits: 0, reported: 0, late: 0, expired: 0 },
};

function compareTexts(one: string, two: string): number {
  if (one === two) return 0;
  return one < two ? -1 : 1;
}

/** Adds two lists of counts. */
export function addAccountCounts(one: AccountCounts, two: AccountCounts): AccountCounts {
  const sums = new Map(one);
  two.forEach(([account, count]) => sums.set(account, (sums.get(account) ?? 0) + count));
  return [...sums].sort(([first], [second]) => compareTexts(first, second));
}

/**
 * Adds two lists of windows.
 *
 * @example
 * addWindowCounts([[7, [['ana', 2]]]], [[7, [['ana', 1]]]]) // [[7, [['ana', 3]]]]
 */
export function addWindowCounts(one: WindowCounts, two: WindowCounts): WindowCounts {
  const sums = new Map(one);
  two.forEach(([window, counts]) =>
    sums.set(window, addAccountCounts(sums.get(window) ?? [], counts)),
  );
  return [...sums].sort(([first], [second]) => first - second);
}

/** Returns the sum of all counts. */
export function sumCounts(counts: WindowCounts): number {
  return counts.flatMap(([, accounts]) => accounts).reduce((sum, [, count]) => sum + count, 0);
}

/** Returns whether the counts of a window are final. A window before all remembered seals counts as sealed. */
export function isWindowSealed({ sealed }: UsageState, window: number): boolean {
  const isForgotten = sealed.length >= MAX_REMEMBERED_SEALS && window < (sealed[0] ?? 0);
  return isForgotten || sealed.includes(window);
}

/** Returns the last committed batch of each gateway start, for many look-ups. */
export function buildLastBatches(state: UsageState | undefined): ReadonlyMap<string, number> {
  return new Map(state?.sources.map(({ source, last }) => [source, last]));
}

/** Returns the last committed batch of a gateway's start; 0 if none is known. */
export function getLastBatch(state: UsageState | undefined, source: string): number {
  return state?.sources.find((known) => known.source === source)?.last ?? 0;
}

type RecordCommand = Extract<UsageCommand, { kind: 'recordUsage' }>;

function addToWindows(
  windows: readonly UsageWindow[],
  counts: WindowCounts,
): readonly UsageWindow[] {
  const known = new Map(windows.map((item) => [item.window, item]));
  counts.forEach(([window, added]) => {
    const before = known.get(window)?.counts ?? [];
    known.set(window, { window, isSealed: false, counts: addAccountCounts(before, added) });
  });
  return [...known.values()].sort((one, two) => one.window - two.window);
}

/** Drops the oldest sealed windows and the latest open ones: only a gateway whose clock is ahead counts so far on. */
function dropExcess(windows: readonly UsageWindow[]): readonly UsageWindow[] {
  const sealed = windows.filter(({ isSealed }) => isSealed).slice(-MAX_SEALED_WINDOWS);
  const open = windows.filter(({ isSealed }) => !isSealed).slice(0, MAX_OPEN_WINDOWS);
  return [...sealed, ...open].sort((one, two) => one.window - two.window);
}

function applyRecord(state: UsageState, command: RecordCommand): UsageState | undefined {
  const lastBatches = buildLastBatches(state);
  const isStale = command.sources.some(([source, base]) => (lastBatches.get(source) ?? 0) !== base);
  if (isStale) return undefined;
  const commits = state.commits + 1;
  const timely = command.counts.filter(([window]) => !isWindowSealed(state, window));
  const late = command.counts.filter(([window]) => isWindowSealed(state, window));
  const added = addToWindows(state.windows, timely);
  const sealing = new Set(
    command.seals.filter((window) =>
      added.some((item) => item.window === window && !item.isSealed),
    ),
  );
  const marked = added.map((item) =>
    sealing.has(item.window) ? { ...item, isSealed: true } : item,
  );
  const left = marked.filter(
    ({ window, isSealed }) => !(isSealed && command.reported.includes(window)),
  );
  const windows = dropExcess(left);
  const updated = new Set(command.sources.map(([source]) => source));
  const kept = state.sources.filter(
    ({ source, usedAt }) => !updated.has(source) && commits - usedAt <= SOURCE_LIFETIME,
  );
  const used = command.sources.map(([source, , last]) => ({ source, last, usedAt: commits }));
  return {
    ...{ token: state.token, holder: state.holder, windows, commits },
    sealed: [...state.sealed, ...sealing]
      .sort((one, two) => one - two)
      .slice(-MAX_REMEMBERED_SEALS),
    sources: [...kept, ...used].slice(-MAX_SOURCES),
    reported: state.reported + marked.length - left.length,
    late: state.late + sumCounts(late),
    expired: state.expired + left.length - windows.length,
  };
}

/**
 * Applies a command. Returns undefined if its batches don't continue those of the state, as when an earlier proposal
 * of unknown outcome was committed after all; then nothing changes.
 *
 * @example
 * applyUsage(emptyUsage, { kind: 'takeUsageDuty', holder: 'st-1', step: 1 }) // { ..., token: 1, holder: 'st-1' }
 */
export function applyUsage(state: UsageState, command: UsageCommand): UsageState | undefined {
  switch (command.kind) {
    case 'recordUsage':
      return applyRecord(state, command);
    case 'takeUsageDuty':
      return { ...state, token: state.token + command.step, holder: command.holder };
  }
}

/** Returns whether a command of the catalog changes the usage state only. */
export function isUsageCommand(command: { readonly kind: string }): boolean {
  return command.kind === 'recordUsage' || command.kind === 'takeUsageDuty';
}
