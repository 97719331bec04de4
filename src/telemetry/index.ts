/** Logging, metrics and tracing of a process. */
export { createLogger, applyLogLevel, type Logger, type LogFields } from './log.js';
export { createMetrics, type Metrics, type CallRecord } from './metrics.js';
export {
  createTracer,
  parseTraceparent,
  type Tracer,
  type HopSpan,
  type TraceContext,
} from './trace.js';
export { createPlatformServer, type PlatformServer, type PlatformState } from './platform.js';
export { createMetricsServer } from './exposition.js';
export { standardOutput } from './sink.js';
