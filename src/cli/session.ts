/**
 * Calls to the control members. Invariant: every call ends by the deadline, and an outcome says that
 * nothing was run only if no member can have taken the command in.
 */
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import type { Address } from '../model/index.js';
import type { NoAnswer, OperatorsRouter } from '../operators/index.js';

/** Longest time in milliseconds that one attempt at one member may take. */
const ATTEMPT_TIMEOUT = 3000;
/** Milliseconds between two attempts. */
const RETRY_PAUSE = 150;

/** The calls at one member. */
export type MemberClient = ReturnType<typeof createTRPCClient<OperatorsRouter>>;

/** Thrown when a member understood a call and refused it; the message names the remedy. */
export class RefusedError extends Error {
  override readonly name = 'RefusedError';
  readonly kind = 'refused';
}

/** The answers that end a call; after the others another member is asked. */
export type FinalAnswer<Answer> = Exclude<
  Answer,
  { readonly kind: 'notLeader' | 'unavailable' | 'unknown' }
>;

/** What an attempt gave. */
export type CallResult<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** `sent` tells whether a member may have taken a call in. */
  | { readonly kind: 'missed'; readonly sent: boolean; readonly remedy: string };

/** What {@link createSession} needs. */
export interface SessionOptions {
  /** Operators' addresses of control members. */
  readonly addresses: readonly Address[];
  readonly token: string;
  /** Monotonic time in milliseconds by which every call ends. */
  readonly deadline: number;
  readonly now: () => number;
}

/** One run's calls. */
export interface Session {
  /** Calls one member after another until one answers or the deadline passes. */
  call<Answer extends { readonly kind: string }>(
    ask: (client: MemberClient, deadlineMs: number, signal: AbortSignal) => Promise<Answer>,
  ): Promise<CallResult<FinalAnswer<Answer>>>;
  /** Waits, but not past the deadline; tells whether time is left. */
  pause(milliseconds: number): Promise<boolean>;
}

/** Tells whether an error says that no connection was made. */
function isConnectionFailure(error: unknown): boolean {
  const text = String(error instanceof Error ? (error.cause ?? error) : error);
  const code = error instanceof Error ? findErrorCode(error) : undefined;
  return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || text.includes('ECONNREFUSED');
}

function findErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error)) return undefined;
  if ('code' in error && typeof error.code === 'string') return error.code;
  return findErrorCode(error.cause);
}

/** Returns the error that a member answered with, if it did. */
function findRefusal(error: unknown): RefusedError | undefined {
  if (!(error instanceof TRPCClientError)) return undefined;
  const shape = error.shape as { readonly message?: string } | null | undefined;
  const data = error.data as { readonly httpStatus?: number } | null | undefined;
  const isRefusal = data?.httpStatus !== undefined && data.httpStatus < 500;
  return isRefusal ? new RefusedError(shape?.message ?? error.message) : undefined;
}

function isNoAnswer(answer: { readonly kind: string }): answer is NoAnswer {
  return answer.kind === 'notLeader' || answer.kind === 'unavailable';
}

class MemberSession implements Session {
  readonly #options: SessionOptions;
  readonly #clients = new Map<Address, MemberClient>();
  #nextIndex = 0;
  #leader: Address | undefined;

  constructor(options: SessionOptions) {
    this.#options = options;
  }

  async call<Answer extends { readonly kind: string }>(
    ask: (client: MemberClient, deadlineMs: number, signal: AbortSignal) => Promise<Answer>,
  ): Promise<CallResult<FinalAnswer<Answer>>> {
    type Wanted = FinalAnswer<Answer>;
    let sent = false;
    let remedy = 'give the address of a control member that runs';
    let hasTime = true;
    while (hasTime) {
      const address = this.#pickAddress();
      const budget = Math.min(ATTEMPT_TIMEOUT, this.#getTimeLeft());
      const signal = AbortSignal.timeout(Math.max(1, Math.ceil(budget)));
      try {
        const answer = await ask(this.#getClient(address), Math.max(1, budget), signal);
        if (isNoAnswer(answer)) {
          remedy = this.#updateLeader(answer);
        } else if (answer.kind === 'unknown') {
          sent = true;
        } else {
          return { kind: 'answered', answer: answer as unknown as Wanted };
        }
      } catch (error) {
        const refusal = findRefusal(error);
        if (refusal !== undefined) throw refusal;
        sent = sent || !isConnectionFailure(error);
        remedy = `start the control member at ${address}, or name another with --control`;
        this.#leader = undefined;
      }
      hasTime = await this.pause(RETRY_PAUSE);
    }
    return { kind: 'missed', sent, remedy };
  }

  async pause(milliseconds: number): Promise<boolean> {
    const wait = Math.min(milliseconds, this.#getTimeLeft());
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    return this.#getTimeLeft() > 0;
  }

  #getTimeLeft(): number {
    return this.#options.deadline - this.#options.now();
  }

  #pickAddress(): Address {
    const { addresses } = this.#options;
    const address = this.#leader ?? addresses[this.#nextIndex % addresses.length] ?? '';
    if (this.#leader === undefined) this.#nextIndex += 1;
    return address;
  }

  /** Turns to the leader that the member named, or to the next member. */
  #updateLeader(answer: NoAnswer): string {
    if (answer.kind === 'unavailable') {
      this.#leader = undefined;
      return answer.remedy;
    }
    this.#leader = answer.leader === this.#leader ? undefined : answer.leader;
    return 'wait until the control members have a leader: a majority of them must run';
  }

  #getClient(address: Address): MemberClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const headers = { authorization: `Bearer ${this.#options.token}` };
    const client = createTRPCClient<OperatorsRouter>({
      links: [httpLink({ url: `http://${address}`, headers })],
    });
    this.#clients.set(address, client);
    return client;
  }
}

/**
 * Opens the calls of one run.
 *
 * @example
 * const session = createSession({ addresses, token, deadline: performance.now() + 10_000, now: () => performance.now() });
 */
export function createSession(options: SessionOptions): Session {
  return new MemberSession(options);
}
