/** Counts requests by client account and window, and reports them to the platform. */
export { DEFAULT_LEASE_MS, DEFAULT_WINDOW_MS } from './types.js';
export { UsageCounter } from './counter.js';
export {
  createReporting,
  decideReporting,
  type ReportingEffect,
  type ReportingEvent,
  type ReportingState,
} from './reporting.js';
export { applyUsage, emptyUsage, getLastBatch, isUsageCommand } from './state.js';
export type {
  AccountCounts,
  ReportOutcome,
  SendReport,
  UsageBatch,
  UsageCommand,
  UsageDelivery,
  UsageReceipt,
  UsageReport,
  UsageState,
} from './types.js';
