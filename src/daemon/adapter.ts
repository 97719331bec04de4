/** The interface between the roles that run on a platform and the adapter to that platform. */
import type { Gateway, HeaderDialect } from '../gateway/index.js';
import type { Instant } from '../model/index.js';
import type { Settings } from '../settings/index.js';
import type { Steward } from '../steward/index.js';
import type { SendReport } from '../usage/index.js';

/** Listeners that serve the protocol of the platform on which chivewalk runs. */
export interface Listeners {
  close(): void;
}

/** Adapts gateways and stewards to the platform on which chivewalk runs. */
export interface PlatformAdapter {
  readonly dialect: HeaderDialect;
  readonly openGatewayListeners: (gateway: Gateway, settings: Settings) => Promise<Listeners>;
  readonly openStewardListeners: (steward: Steward, settings: Settings) => Promise<Listeners>;
  /** Sends a usage report to the platform. */
  readonly sendUsageReport: SendReport;
}

/** A role of this process that has started. */
export interface RunningRole {
  /** Whether it knows no leader of its group, or its state is old, so that the seeds are worth reading again. */
  readonly isLost: boolean;
  /** Stops the role after a signal that was sent at this instant or later. */
  stop(signalledAt: Instant): Promise<void>;
}
