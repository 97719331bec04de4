/**
 * The interface of a role, one part of what a process does. Invariant: `stop` is called at most once, after
 * `start`, and lets requests in flight finish.
 */

/** Status fields that a role reports. */
export type RoleState = Readonly<Record<string, string | number | boolean>>;

/** Base class of the roles. */
export abstract class ProcessRole {
  /** Starts the role; resolves once its listeners are open. */
  abstract start(): Promise<void>;
  /** Stops the role gracefully. */
  abstract stop(): Promise<void>;
  /** Returns whether the role can currently serve. */
  abstract isReady(): boolean;
  /** Returns the status fields for the platform's readiness page. */
  abstract describeState(): RoleState;
}
