/**
 * Opens a component on a disk again after a failure of the disk, or with an empty folder after the group gave
 * up its member. Invariant: at most one opening exists at a time, its folder is emptied only while none does,
 * and a failure or a request at any moment, also while the component is being opened, leads to another opening
 * unless the component was stopped.
 */

/** One opening of a component. */
export interface Opening {
  close(): Promise<void>;
}

/** Why a component is opened again: its disk failed, or its group replaced it and its data is void. */
export type ReopeningCause = 'diskFailed' | 'replaced';

/** Options of {@link Reopening}. */
export interface ReopeningOptions<T extends Opening> {
  /**
   * Opens the component. It calls `onEnded` when it has to be opened again, also before its promise has
   * resolved; the first call counts.
   */
  readonly open: (onEnded: (cause: ReopeningCause) => void) => Promise<T>;
  /** Deletes the data of a replaced component, so that it is opened as a new one. */
  readonly empty: () => Promise<void>;
  /** Waits until the disk takes writes. */
  readonly waitForDisk: () => Promise<void>;
  /** Waits before an opening that threw is tried again. */
  readonly waitToRetry: () => Promise<unknown>;
  readonly onReopened: (cause: ReopeningCause) => void;
  /** Called with the error of a closing, or of an opening other than the first one. */
  readonly onProblem: (error: unknown) => void;
}

/**
 * A component that is opened again after each failure of its disk.
 *
 * @example
 * const reopening = new Reopening({ open, empty, waitForDisk, waitToRetry, onReopened, onProblem });
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
    let reportEnd: (cause: ReopeningCause) => void = () => undefined;
    const ended = new Promise<ReopeningCause>((resolve) => {
      reportEnd = resolve;
    });
    this.#current = await this.#options.open(reportEnd);
    if (this.#isStopping) await this.#closeCurrent();
    // A failure during the opening is handled only now, so that two openings never overlap.
    else void ended.then((cause) => this.#reopen(cause));
  }

  async #reopen(cause: ReopeningCause): Promise<void> {
    await this.#options.waitForDisk();
    await this.#closeCurrent();
    await this.#startAgain(cause, cause === 'replaced');
  }

  async #startAgain(cause: ReopeningCause, holdsVoidData: boolean): Promise<void> {
    if (this.#isStopping) return;
    let remains = holdsVoidData;
    try {
      if (remains) await this.#options.empty();
      remains = false;
      await this.start();
    } catch (error) {
      this.#options.onProblem(error);
      await this.#options.waitToRetry();
      await this.#startAgain(cause, remains);
      return;
    }
    this.#options.onReopened(cause);
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
