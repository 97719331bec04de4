/**
 * Updates the state of upstreams from responses, failures and probes. Invariant: a failed attempt never
 * lowers the latency of an upstream, so an upstream that fails fast doesn't attract traffic by appearing
 * idle.
 */
import type { Instant, LoadReport } from '../model/index.js';
import { markCold, markWarm } from './cold.js';
import { computeLatency } from './estimate.js';
import type { RoutingState, ServiceState, UpstreamState } from './state.js';

/** Weight of one response in the moving averages of the service. */
const SERVICE_WEIGHT = 0.02;
/** Lower bound of a measured latency in milliseconds, so that ratios stay finite. */
const MIN_LATENCY = 0.1;
/** A failed attempt counts at least as a response with this multiple of the service's latency. */
const FAILURE_LATENCY_FACTOR = 5;
/** Multiple of the service's latency up to which a response of a cold upstream counts as normal. */
const NORMAL_LATENCY_FACTOR = 3;

/** Result of an ended attempt or a probe, from which the state of its upstream is updated. */
export interface Signal {
  readonly failed: boolean;
  /** Whether the upstream rejected the request without running it. */
  readonly rejected?: boolean;
  /** Milliseconds from sending to the response head or the failure; `undefined` if not measured. */
  readonly latency: number | undefined;
  readonly report: LoadReport | undefined;
  /** Whether no connection could be made. */
  readonly unreachable?: boolean;
}

/** Removes one request that was sent at `sentAt` from the requests in flight. */
export function releaseRequest(known: UpstreamState, sentAt: Instant): UpstreamState {
  const index = known.sentAt.indexOf(sentAt);
  return index < 0 ? known : { ...known, sentAt: known.sentAt.toSpliced(index, 1) };
}

function applyLatency(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  signal: Signal,
  now: Instant,
): UpstreamState {
  const measured = signal.latency ?? 0;
  const sample = signal.failed
    ? Math.max(measured, service.latency * FAILURE_LATENCY_FACTOR)
    : measured;
  const before = computeLatency(state, service, known, now);
  const latency = before + (sample - before) * state.options.latencyWeight;
  return { ...known, latency, latencyAt: now };
}

function applyReport(known: UpstreamState, report: LoadReport, now: Instant): UpstreamState {
  const otherRequests = Math.max(0, report.inFlight + report.queued - known.sentAt.length);
  return { ...known, otherRequests, reportedAt: now };
}

function isEjectionAllowed(state: RoutingState, service: ServiceState, now: Instant): boolean {
  const ejected = service.upstreams.filter((known) => known.ejectedUntil > now).length;
  return ejected + 1 <= service.upstreams.length * state.options.ejectionShare;
}

/** Pauses an upstream that sheds load or drains, so that its rejections don't use up the retry budget. */
function applyRejection(state: RoutingState, known: UpstreamState, now: Instant): UpstreamState {
  const { pauseTime, pauseTimeLimit } = state.options;
  const pause = Math.min(pauseTimeLimit, pauseTime * 2 ** known.rejections);
  return { ...known, rejections: known.rejections + 1, pausedUntil: now + pause };
}

function applyOutcome(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  signal: Signal,
  now: Instant,
): UpstreamState {
  if (signal.rejected === true) return applyRejection(state, known, now);
  if (!signal.failed) {
    if (known.failures === 0 && known.rejections === 0) return known;
    return { ...known, failures: 0, ejections: 0, rejections: 0 };
  }
  const failures = known.failures + 1;
  const shouldEject =
    signal.unreachable === true ||
    known.ejections > 0 ||
    failures >= state.options.ejectionFailures;
  if (!shouldEject || known.ejectedUntil > now || !isEjectionAllowed(state, service, now)) {
    return { ...known, failures };
  }
  const { ejectionTime, ejectionTimeLimit } = state.options;
  const time = Math.min(ejectionTimeLimit, ejectionTime * 2 ** known.ejections);
  return { ...known, failures, ejections: known.ejections + 1, ejectedUntil: now + time };
}

function applyWarmupState(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  signal: Signal,
  now: Instant,
): UpstreamState {
  if (signal.report === undefined && signal.latency === undefined) return known;
  const reportsCold = signal.report?.cold === true;
  const slow = (signal.latency ?? 0) > service.latency * NORMAL_LATENCY_FACTOR;
  if (!known.cold) {
    return reportsCold && (slow || !known.coldReportsIgnored) ? markCold(known, now) : known;
  }
  const coldTooLong = now - known.coldSince > state.options.coldTimeLimit;
  if (slow || signal.failed || (reportsCold && !coldTooLong)) return { ...known, warmAnswers: 0 };
  if (signal.latency === undefined) return reportsCold ? known : markWarm(known, now);
  const warmAnswers = known.warmAnswers + 1;
  if (warmAnswers < state.options.warmAnswers) return { ...known, warmAnswers };
  return { ...markWarm(known, now), coldReportsIgnored: reportsCold };
}

/** Returns the state of the upstream after the signal. */
export function applySignal(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  signal: Signal,
  now: Instant,
): UpstreamState {
  const measured =
    signal.latency === undefined ? known : applyLatency(state, service, known, signal, now);
  const reported =
    signal.report === undefined ? measured : applyReport(measured, signal.report, now);
  const evaluated = applyOutcome(state, service, reported, signal, now);
  return { ...applyWarmupState(state, service, evaluated, signal, now), lastSignalAt: now };
}

/** Updates the averages of the service after a signal of one of its upstreams. */
export function updateAverages(
  service: ServiceState,
  known: UpstreamState,
  signal: Signal,
): ServiceState {
  const otherRequests =
    signal.report === undefined
      ? service.otherRequests
      : service.otherRequests + (known.otherRequests - service.otherRequests) * SERVICE_WEIGHT;
  if (signal.failed || signal.latency === undefined || known.cold)
    return { ...service, otherRequests };
  const samples = service.samples + 1;
  const weight = Math.max(SERVICE_WEIGHT, 1 / samples);
  const sample = Math.max(MIN_LATENCY, signal.latency);
  const latency = service.latency + (sample - service.latency) * weight;
  return { ...service, otherRequests, latency, samples };
}
