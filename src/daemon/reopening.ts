/**
 * Opens a component on a disk again after a failure of the disk. Invariant: at most one opening exists at a
 * time, and a failure at any moment, also while the component is being opened, leads to another opening unless
 * the component was stopped.
 */

/** One opening of a component. */
export interface Opening {
  close(): Promise<void>;
}

/** Options of {@link Reopening}. */
export interface ReopeningOptions<T extends Opening> {
  /** Opens the component. It calls `onFailed` when a write fails, also before its promise has resolved. */
  readonly open: (onFailed: () => void) => Promise<T>;
  /** Waits until the disk takes writes. */
  readonly waitForDisk: () => Promise<void>;
  /** Waits before an opening that threw is tried again. */
  readonly waitToRetry: () => Promise<unknown>;
  readonly onReopened: () => void;
  /** Called with the error of a closing, or of an opening other than the first one. */
  readonly onProblem: (error: unknown) => void;
}

/**
 * A component that is opened again after each failure of its disk.
 *
 * @example
 * const reopening = new Reopening({ open, waitForDisk, waitToRetry, onReopened, onProblem });
 * await reopening.start();
 */
export class Reopening<T extends Opening> {
  readonly #options: ReopeningOptions<T>;
  #current: T | undefined;
  #isStopping = false;

  constructor(options: ReopeningOptions<T>) {
    this.#options = options;
  }

  /** The opening in use, if there is one. */
  get current(): T | undefined {
    return this.#current;
  }

  /** Opens the component for the first time. Rejects if this fails. */
  async start(): Promise<void> {
    let reportFailure = (): void => undefined;
    const failed = new Promise<void>((resolve) => {
      reportFailure = resolve;
    });
    this.#current = await this.#options.open(reportFailure);
    if (this.#isStopping) await this.#closeCurrent();
    // A failure during the opening is handled only now, so that two openings never overlap.
    else void failed.then(() => this.#reopen());
  }

  async #reopen(): Promise<void> {
    await this.#options.waitForDisk();
    await this.#closeCurrent();
    await this.#startAgain();
  }

  async #startAgain(): Promise<void> {
    if (this.#isStopping) return;
    try {
      await this.start();
    } catch (error) {
      this.#options.onProblem(error);
      await this.#options.waitToRetry();
      await this.#startAgain();
      return;
    }
    this.#options.onReopened();
  }

  async #closeCurrent(): Promise<void> {
    const closing = this.#current;
    this.#current = undefined;
    try {
      await closing?.close();
    } catch (error) {
      this.#options.onProblem(error);
    }
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#closeCurrent();
  }
}
