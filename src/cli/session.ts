/**
 * Calls to the control members, with failover between them. Invariant: every call ends by the deadline, and an
 * outcome says that nothing was run only if no member can have received the command.
 */
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import type { Address } from '../model/index.js';
import type { UnavailableAnswer, OperatorsRouter } from '../operators/index.js';

/** Timeout of one attempt at one member, in milliseconds. */
const ATTEMPT_TIMEOUT = 3000;
/** Milliseconds between the end of an attempt and the next one. */
const RETRY_PAUSE = 150;

/** The tRPC client of one member. */
export type MemberClient = ReturnType<typeof createTRPCClient<OperatorsRouter>>;

/** Thrown if a member rejects a call as invalid or unauthorized; the message names the remedy. */
export class RefusedError extends Error {
  override readonly name = 'RefusedError';
  readonly kind = 'refused';
}

/** The answers that end a call; after any other answer, the call is retried at the next member or the leader. */
export type FinalAnswer<Answer> = Exclude<
  Answer,
  { readonly kind: 'notLeader' | 'unavailable' | 'unknown' }
>;

/** The result of a call. */
export type CallResult<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** No member gave a final answer by the deadline; `sent` says whether one may have received the call. */
  | { readonly kind: 'missed'; readonly sent: boolean; readonly remedy: string };

/** Options of {@link createSession}. */
export interface SessionOptions {
  /** Addresses at which control members accept operators' calls. */
  readonly addresses: readonly Address[];
  readonly token: string;
  /** Monotonic time in milliseconds by which every call ends. */
  readonly deadline: number;
  readonly now: () => number;
}

/** The calls of one run of the tool, which share a deadline. */
export interface Session {
  /**
   * Calls one member after another until one gives a final answer or the deadline passes.
   *
   * @param ask Performs the call with a member's client; `deadlineMs` is the attempt's timeout in milliseconds.
   */
  call<Answer extends { readonly kind: string }>(
    ask: (client: MemberClient, deadlineMs: number, signal: AbortSignal) => Promise<Answer>,
  ): Promise<CallResult<FinalAnswer<Answer>>>;
  /** Waits, but not past the deadline. Resolves to whether time remains. */
  pause(milliseconds: number): Promise<boolean>;
}

/** Returns whether an error shows that no connection was made, so that the call can't have been received. */
function isConnectionFailure(error: unknown): boolean {
  const text = String(error instanceof Error ? (error.cause ?? error) : error);
  const code = error instanceof Error ? findErrorCode(error) : undefined;
  return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || text.includes('ECONNREFUSED');
}

/** Returns the system error code (such as `ECONNREFUSED`) of an error or of the errors that caused it. */
function findErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error)) return undefined;
  if ('code' in error && typeof error.code === 'string') return error.code;
  return findErrorCode(error.cause);
}

/** Returns the refusal if a member answered with an HTTP status below 500; other errors are retried. */
function findRefusal(error: unknown): RefusedError | undefined {
  if (!(error instanceof TRPCClientError)) return undefined;
  const shape = error.shape as { readonly message?: string } | null | undefined;
  const data = error.data as { readonly httpStatus?: number } | null | undefined;
  const isRefusal = data?.httpStatus !== undefined && data.httpStatus < 500;
  return isRefusal ? new RefusedError(shape?.message ?? error.message) : undefined;
}

function isNoAnswer(answer: { readonly kind: string }): answer is UnavailableAnswer {
  return answer.kind === 'notLeader' || answer.kind === 'unavailable';
}

/** A session that tries the addresses in turn, or the leader once a member has named it. */
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

  /**
   * Selects the leader that the member named for the next attempt, or the next address if it named none or
   * the leader that was just called. Returns the remedy to print if the deadline passes.
   */
  #updateLeader(answer: UnavailableAnswer): string {
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
 * Creates the session of one run.
 *
 * @example
 * const session = createSession({ addresses, token, deadline: performance.now() + 10_000, now: () => performance.now() });
 */
export function createSession(options: SessionOptions): Session {
  return new MemberSession(options);
}
