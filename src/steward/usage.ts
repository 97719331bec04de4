/**
 * Runs the usage part of a control member. Invariant: the decisions are those of {@link decideReporting}; here are only
 * the clock, the group, the call and the log.
 */
import type { ControlNode } from '../control/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import {
  createReporting,
  decideReporting,
  emptyUsage,
  type ReportingEffect,
  type ReportingEvent,
  type ReportingState,
  type SendReport,
  type UsageCommand,
  type UsageDelivery,
  type UsageReport,
  type UsageState,
} from '../usage/index.js';

const log = createLogger('usage');

/** Interval of the decisions in milliseconds. */
const TICK_INTERVAL: Duration = 100;
/** Timeout of a proposal or a quorum read in milliseconds. */
const QUORUM_TIMEOUT: Duration = 900;
/** Timeout of a call in milliseconds. */
const CALL_TIMEOUT: Duration = 1000;

/** Options of {@link createUsageReporter}. */
export interface UsageReporterOptions<S extends { readonly usage?: UsageState }> {
  readonly control: ControlNode<S>;
  /** Id of the process's VM. */
  readonly self: string;
  readonly windowMs: Duration;
  readonly leaseMs: Duration;
  /** The platform's address; without one, windows are counted and sealed, but not reported. */
  readonly address: Address | undefined;
  readonly send: SendReport;
  readonly now: () => Instant;
  readonly wallNow: () => number;
}

/** The usage part of a control member. */
export interface UsageReporter {
  /** Adds what a gateway delivered, on the leader. */
  addDelivery(delivery: UsageDelivery): void;
  /** Reports that the platform refused because it knows a higher token. */
  readonly fenced: number;
  close(): void;
}

function reportLosses(before: UsageState, after: UsageState): void {
  const late = after.late - before.late;
  const expired = after.expired - before.expired;
  if (late > 0) log.warn('usage counts dropped: their window is sealed', { requests: late });
  if (expired > 0)
    log.warn('usage windows dropped without a report: check the address of the platform', {
      windows: expired,
    });
}

class LeaderReporter<S extends { readonly usage?: UsageState }> implements UsageReporter {
  readonly #options: UsageReporterOptions<S>;
  readonly #timer: NodeJS.Timeout;
  #state: ReportingState;

  constructor(options: UsageReporterOptions<S>) {
    this.#options = options;
    const { self, windowMs, leaseMs, address } = options;
    this.#state = createReporting({ self, windowMs, leaseMs, canReport: address !== undefined });
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_INTERVAL);
  }

  get fenced(): number {
    return this.#state.fenced;
  }

  addDelivery(delivery: UsageDelivery): void {
    const { now } = this.#options;
    this.#decide({ kind: 'delivered', now: now(), delivery, usage: this.#usage });
  }

  close(): void {
    clearInterval(this.#timer);
  }

  get #usage(): UsageState | undefined {
    return this.#options.control.applied.usage;
  }

  #tick(): void {
    const { control, now, wallNow } = this.#options;
    const { role, term } = control.status;
    const led = role === 'leader' ? term : undefined;
    const usage = this.#usage;
    this.#decide({ kind: 'ticked', now: now(), wallNow: wallNow(), term: led, usage });
  }

  #decide(event: ReportingEvent): void {
    const { state, effects } = decideReporting(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => {
      this.#performEffect(effect);
    });
  }

  #performEffect(effect: ReportingEffect): void {
    switch (effect.kind) {
      case 'commit':
        void this.#commit(effect.id, effect.command);
        return;
      case 'confirm':
        void this.#confirm(effect.id);
        return;
      case 'send':
        void this.#send(effect.id, effect.report);
        return;
    }
  }

  async #commit(id: number, command: UsageCommand): Promise<void> {
    const { control, now } = this.#options;
    const before = this.#usage ?? emptyUsage;
    const outcome = await control.propose(command, QUORUM_TIMEOUT);
    const isApplied = outcome.kind === 'committed';
    const usage = this.#usage;
    if (isApplied && command.kind === 'takeUsageDuty')
      log.info('usage reports: duty taken', { token: usage?.token ?? 0 });
    if (isApplied && command.kind === 'recordUsage' && command.seals.length > 0)
      log.info('usage windows sealed', { windows: command.seals.join(' ') });
    if (isApplied && usage !== undefined) reportLosses(before, usage);
    this.#decide({ kind: 'committed', now: now(), id, isApplied, usage });
  }

  async #confirm(id: number): Promise<void> {
    const { control, now } = this.#options;
    const read = await control.readCurrent(QUORUM_TIMEOUT);
    const isCurrent = read.kind === 'current';
    const usage = read.kind === 'current' ? read.state.usage : undefined;
    this.#decide({ kind: 'confirmed', now: now(), id, isCurrent, usage });
  }

  async #send(id: number, report: UsageReport): Promise<void> {
    const { send, address, now } = this.#options;
    const outcome = address === undefined ? 'failed' : await send(address, report, CALL_TIMEOUT);
    const { window, token } = report;
    if (outcome === 'accepted') log.info('usage window reported', { window, token });
    else log.warn('usage window was not reported', { window, token, outcome });
    this.#decide({ kind: 'answered', now: now(), id, outcome });
  }
}

/** Starts the usage part of a control member; it is idle while another member leads. */
export function createUsageReporter<S extends { readonly usage?: UsageState }>(
  options: UsageReporterOptions<S>,
): UsageReporter {
  return new LeaderReporter(options);
}
