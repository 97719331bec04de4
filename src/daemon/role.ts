/** One role of a process. Invariant: `stop` is called at most once, after `start`, and cuts off no request. */
export type RoleState = Readonly<Record<string, string | number | boolean>>;

/** The base of the roles. */
export abstract class ProcessRole {
  /** Opens the role's listeners. */
  abstract start(): Promise<void>;
  /** Stops gracefully. */
  abstract stop(): Promise<void>;
  /** Whether the role can do its work now. */
  abstract isReady(): boolean;
  /** Facts for the platform's readiness page. */
  abstract describeState(): RoleState;
}
