/**
 * Prometheus metrics of a process, on top of prom-client. Invariant: label cardinality is bounded by the number
 * of services, versions and outcomes.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** A finished call, as reported by the entry. */
export interface CallRecord {
  readonly service: string;
  readonly outcome: string;
  /** Milliseconds from the arrival of the call to the end of its response. */
  readonly latency: number;
}

/** The metrics of one process. */
export interface Metrics {
  /** Counts a finished call. */
  recordCall(call: CallRecord): void;
  /** Registers a gauge whose value is read at each collection. */
  watchGauge(name: string, help: string, read: () => number): void;
  /** Renders all metrics in the Prometheus text format. */
  renderText(): Promise<string>;
}

/** Upper bounds of the latency histogram buckets, in seconds. */
const LATENCY_BUCKETS = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10,
];
const MS_PER_SECOND = 1000;

/**
 * Creates the metrics of one process.
 *
 * @example
 * const metrics = createMetrics({ process: 'entry-1', zone: 'cyberjaya' });
 * metrics.watchGauge('chivewalk_upstreams', 'Upstreams that are announced.', () => upstreams.length);
 */
export function createMetrics(labels: Readonly<Record<string, string>>): Metrics {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  collectDefaultMetrics({ register: registry });
  const calls = new Counter({
    name: 'chivewalk_calls_total',
    help: 'Calls that ended, by service and outcome.',
    labelNames: ['service', 'outcome'],
    registers: [registry],
  });
  const latency = new Histogram({
    name: 'chivewalk_call_seconds',
    help: 'Seconds from the arrival of a call to the end of its answer.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS,
    registers: [registry],
  });
  return {
    recordCall: (call) => {
      calls.inc({ service: call.service, outcome: call.outcome });
      latency.observe({ service: call.service }, call.latency / MS_PER_SECOND);
    },
    watchGauge: (name, help, read) => {
      new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
    },
    renderText: () => registry.metrics(),
  };
}
