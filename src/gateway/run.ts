/**
 * Runs one request: selects upstreams, sends attempts, retries and hedges, and returns the final answer.
 * Invariant: the answer is given exactly once, no later than the deadline, unless the request is cancelled;
 * no attempt continues after that.
 */
import { isIdempotentKind } from '../catalog/index.js';
import type { HedgeTracker } from '../hedging/index.js';
import type { Duration, Instant } from '../model/index.js';
import type { TurnResult, WaitingListener, WaitingTicket, WaitRefusal } from '../overload/index.js';
import { NOT_READY_RETRY_AFTER } from './answers.js';
import type { BufferBudget, BufferHolder } from './buffers.js';
import type { Choice } from './choose.js';
import type { Attempt } from './pool.js';
import {
  addAttemptEnd,
  isHedgeable,
  createRetryState,
  decideRetry,
  hasAttemptLeft,
  finishRequest,
  type RetryState,
} from './retry.js';
import type {
  AttemptOutcome,
  FinalAnswer,
  GatewayRequest,
  RefusalCause,
  UpstreamRecord,
} from './types.js';

/** Maximum number of on-demand probes for one attempt, enough to find an upstream at its normal pace in most cases. */
const MAX_ON_DEMAND_PROBES = 3;
/** Number of unanswered on-demand probes after which the request is sent anyway; each one delays the request. */
const MAX_UNANSWERED_PROBES = 2;
/** Retry-After of requests refused because no upstream is available, in milliseconds. */
const NO_UPSTREAM_RETRY_AFTER: Duration = 200;

/** Causes of refusals after which the caller comes back at a time that depends on its deadline. */
const RETRYABLE_CAUSES: ReadonlySet<RefusalCause> = new Set([
  'overloaded',
  'turnedAway',
  'noUpstream',
  'unreachable',
]);

/** The queues of requests for which there is no capacity yet. */
export interface RunQueues {
  /** Whether the request must wait although there may be room, because others come first. */
  isHeldBack(request: GatewayRequest): boolean;
  /** Lets the request wait or refuses it; the listener may be called before this returns. */
  join(request: GatewayRequest, listener: WaitingListener): WaitingTicket;
  /** Records that the request was sent without a wait. */
  recordSent(request: GatewayRequest): void;
  /** Records that the request is refused, as upstreams rejected it. */
  recordRefused(request: GatewayRequest): void;
  /** Returns when a refused caller is told to come back, if there may be room after `wait` milliseconds. */
  computeRetryAfter(request: GatewayRequest, wait: Duration): Duration;
}

/** The gateway's functions that a {@link RequestRun} calls. */
export interface RunHost {
  readonly now: () => Instant;
  /** A host without queues refuses requests as soon as there is no room for them. */
  readonly queues?: RunQueues;
  readonly buffers: BufferBudget;
  readonly hedging: HedgeTracker;
  /** Chooses an upstream that is not in `tried`; among equally good ones, prefers those in `justProbed`. */
  choose(
    request: GatewayRequest,
    tried: readonly UpstreamRecord[],
    justProbed: readonly UpstreamRecord[],
  ): Choice;
  /** Whether the upstream should be probed before the request is sent to it. */
  isProbeDue(request: GatewayRequest, record: UpstreamRecord): boolean;
  /** Probes the upstream's load at once; `isAnswered` is true if it answered within the probe's time limit. */
  probeOnDemand(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void;
  send(
    request: GatewayRequest,
    record: UpstreamRecord,
    onEnd: (outcome: AttemptOutcome) => void,
  ): Attempt;
  /** Whether the present state still allows a request that has waited. */
  isAllowed(request: GatewayRequest): boolean;
  /** Returns the milliseconds for which requests like this one are refused because they crash upstreams, or 0. */
  getQuarantineTime(request: GatewayRequest): Duration;
  /** Whether a request like this one was in flight on an upstream that crashed. */
  isSuspected(request: GatewayRequest): boolean;
  /** Calls the function once it is known whether a suspected request crashed the upstream, or at once. */
  waitForCrashCheck(request: GatewayRequest, record: UpstreamRecord, onEnd: () => void): void;
  /** Takes one retry from the service's retry budget; returns false if none is left. */
  takeRetry(service: string): boolean;
  /** Whether the upstream has a free slot, by its report, and its service isn't short of capacity. */
  hasRoomForHedge(record: UpstreamRecord): boolean;
  /** Records the outcome of an attempt; `undefined` if the attempt was cancelled. */
  recordAttempt(
    request: GatewayRequest,
    sent: SentAttempt,
    outcome: AttemptOutcome | undefined,
  ): void;
  /** Logs a decision other than sending the first attempt and passing on its answer. */
  recordDecision(
    request: GatewayRequest,
    decision: string,
    record: UpstreamRecord | undefined,
    reason: string,
  ): void;
}

/** State of an attempt at the time it was sent. */
export interface SentAttempt {
  readonly record: UpstreamRecord;
  readonly sentAt: Instant;
  /** Milliseconds that the attempt was expected to take. */
  readonly expected: Duration;
  /** Expected time divided by the work of the request. */
  readonly slowdown: number;
  /** Whether it was sent because an earlier attempt took long. */
  readonly isHedge: boolean;
}

interface PendingAttempt extends SentAttempt {
  readonly attempt: Attempt;
}

/** The upstreams that were probed on demand for one attempt. */
interface ProbedUpstreams {
  readonly answered: readonly UpstreamRecord[];
  readonly unresponsive: readonly UpstreamRecord[];
}

const NO_PROBED_UPSTREAMS: ProbedUpstreams = { answered: [], unresponsive: [] };

/** One request from its first attempt to its final answer. */
export class RequestRun implements BufferHolder {
  readonly #host: RunHost;
  readonly #request: GatewayRequest;
  readonly #onAnswer: (answer: FinalAnswer) => void;
  readonly #pending = new Set<PendingAttempt>();
  readonly #deadlineTimer: NodeJS.Timeout;
  #hedgeTimer: NodeJS.Timeout | undefined;
  #retryState: RetryState;
  #tried: readonly UpstreamRecord[] = [];
  #ticket: WaitingTicket | undefined;
  #isOver = false;

  constructor(host: RunHost, request: GatewayRequest, onAnswer: (answer: FinalAnswer) => void) {
    this.#host = host;
    this.#request = request;
    this.#onAnswer = onAnswer;
    const { kind, maxAttempts } = request.route;
    this.#retryState = createRetryState(isIdempotentKind(kind), maxAttempts);
    this.#deadlineTimer = setTimeout(
      () => {
        this.#handleDeadline();
      },
      Math.max(0, request.deadline - host.now()),
    );
    this.#sendFirst();
  }

  /** Whether the request was answered or cancelled. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Cancels the request because its caller disconnected; no answer is given. */
  cancel(): void {
    if (this.#isOver) return;
    this.#host.recordDecision(
      this.#request,
      'callerLeft',
      undefined,
      'the caller closed its connection',
    );
    this.#finish();
  }

  /** Ends the request because requests like it crash upstreams, and cancels its attempts. */
  handleQuarantine(): void {
    if (this.#isOver) return;
    const { mayHaveRun, pending } = this.#retryState;
    if (mayHaveRun + pending === 0) this.#refuseAsQuarantined();
    else this.#answer(finishRequest(this.#retryState));
  }

  #refuseAsQuarantined(): void {
    const retryAfter = this.#host.getQuarantineTime(this.#request);
    this.#answer({ kind: 'refused', cause: 'quarantined', retryAfter });
  }

  #isQuarantined(): boolean {
    return this.#host.getQuarantineTime(this.#request) > 0;
  }

  /** Selects an upstream, probing candidates on demand if their load reports may be outdated. */
  #selectUpstream(
    onSelected: (choice: Choice) => void,
    probed: ProbedUpstreams = NO_PROBED_UPSTREAMS,
  ): void {
    const choice = this.#choose(probed);
    const isProbeDue =
      probed.answered.length + probed.unresponsive.length < MAX_ON_DEMAND_PROBES &&
      probed.unresponsive.length < MAX_UNANSWERED_PROBES &&
      choice.kind === 'chosen' &&
      !probed.answered.includes(choice.record) &&
      this.#host.isProbeDue(this.#request, choice.record);
    if (!isProbeDue) {
      onSelected(choice);
      return;
    }
    const { record } = choice;
    this.#host.probeOnDemand(record, (isAnswered) => {
      if (this.#isOver) return;
      const { answered, unresponsive } = probed;
      this.#selectUpstream(
        onSelected,
        isAnswered
          ? { unresponsive, answered: [...answered, record] }
          : { answered, unresponsive: [...unresponsive, record] },
      );
    });
  }

  /** Excludes unresponsive upstreams from the choice, unless no other upstream can be chosen. */
  #choose({ answered, unresponsive }: ProbedUpstreams): Choice {
    const { version, retryVersion } = this.#request;
    const request = {
      ...this.#request,
      version: this.#isUntried ? version : retryVersion,
    };
    const choice = this.#host.choose(request, [...this.#tried, ...unresponsive], answered);
    return choice.kind === 'chosen' || unresponsive.length === 0
      ? choice
      : this.#host.choose(request, this.#tried, answered);
  }

  /** Whether no attempt was made, not even one that was rejected. */
  get #isUntried(): boolean {
    const { rejected, unreachable } = this.#retryState;
    return this.#tried.length + rejected + unreachable === 0;
  }

  #sendFirst(): void {
    if (this.#isQuarantined()) {
      this.#refuseAsQuarantined();
      return;
    }
    if (this.#host.queues?.isHeldBack(this.#request) === true) {
      this.#waitOrRefuse({ kind: 'refused', cause: 'overloaded', retryAfter: 0 });
      return;
    }
    this.#selectUpstream((choice) => {
      this.#handleFirstChoice(choice);
    });
  }

  /** Waits for room, as far as the queues expect that there will be some in time; refuses the request otherwise. */
  #waitOrRefuse(refusal: Extract<FinalAnswer, { kind: 'refused' }>): void {
    const { queues } = this.#host;
    if (queues === undefined) {
      this.#answer(refusal);
      return;
    }
    const ticket = queues.join(this.#request, {
      onTurn: (onResult) => {
        this.#takeTurn(onResult);
      },
      onRefuse: (cause, retryAfter) => {
        this.#refuseWaiting(refusal.cause, cause, retryAfter);
      },
    });
    if (this.#isOver) return;
    this.#ticket = ticket;
    this.#host.recordDecision(this.#request, 'wait', undefined, refusal.cause);
  }

  #refuseWaiting(cause: RefusalCause, reason: WaitRefusal, retryAfter: Duration): void {
    if (reason === 'displaced' || reason === 'reserved')
      this.#host.recordDecision(this.#request, reason, undefined, 'others are served first');
    const isStopping = reason === 'stopping';
    this.#answer({ kind: 'refused', cause: isStopping ? 'stopping' : cause, retryAfter }, true);
  }

  /** Decides anew on a request that has waited. */
  #takeTurn(onResult: (result: TurnResult) => void): void {
    if (this.#isOver) return;
    if (this.#isQuarantined()) {
      this.#refuseAsQuarantined();
      return;
    }
    if (!this.#host.isAllowed(this.#request)) {
      this.#answer({ kind: 'refused', cause: 'stale', retryAfter: NOT_READY_RETRY_AFTER });
      return;
    }
    this.#selectUpstream((choice) => {
      // Upstreams that rejected a request a moment ago are not usable for a few milliseconds.
      const isUnusable = choice.kind === 'noUpstream' && !this.#isUntried;
      if (choice.kind === 'noRoom' || isUnusable) {
        onResult('noRoom');
        return;
      }
      if (choice.kind === 'chosen') {
        this.#ticket = undefined;
        onResult('sent');
      }
      this.#handleFirstChoice(choice, true);
    });
  }

  #handleFirstChoice(choice: Choice, hasWaited = false): void {
    switch (choice.kind) {
      case 'chosen':
        if (!hasWaited) this.#host.queues?.recordSent(this.#request);
        this.#send(choice);
        return;
      case 'noRoom':
        this.#waitOrRefuse({ kind: 'refused', cause: 'overloaded', retryAfter: choice.wait });
        return;
      case 'stale':
        this.#answer({ kind: 'refused', cause: 'stale', retryAfter: NOT_READY_RETRY_AFTER });
        return;
      case 'noUpstream':
        this.#answer({ kind: 'refused', cause: 'noUpstream', retryAfter: NO_UPSTREAM_RETRY_AFTER });
        return;
    }
  }

  #send(
    { record, expected, slowdown }: Extract<Choice, { kind: 'chosen' }>,
    isHedge = false,
  ): void {
    const sentAt = this.#host.now();
    this.#tried = [...this.#tried, record];
    this.#retryState = { ...this.#retryState, pending: this.#retryState.pending + 1 };
    const pending: PendingAttempt = {
      record,
      sentAt,
      expected,
      slowdown,
      isHedge,
      attempt: this.#host.send(this.#request, record, (outcome) => {
        this.#handleEnd(pending, outcome);
      }),
    };
    this.#pending.add(pending);
    if (!isHedgeable(this.#retryState)) return;
    clearTimeout(this.#hedgeTimer);
    const { service, route } = this.#request;
    const sent = { kind: 'sent', route: route.kind, expected } as const;
    const decision = this.#host.hedging.decide(service, sent);
    if (decision.kind !== 'wait') return;
    this.#hedgeTimer = setTimeout(() => {
      this.sendHedge();
    }, decision.delay);
  }

  /** Sends the request to a second upstream because the first one takes longer than expected. */
  sendHedge(): void {
    if (this.#isOver || !isHedgeable(this.#retryState)) return;
    if (this.#host.isSuspected(this.#request)) return;
    this.#selectUpstream((choice) => {
      const isAllowed = !this.#isOver && isHedgeable(this.#retryState) && choice.kind === 'chosen';
      if (!isAllowed || !this.#isHedgeSent(choice)) return;
      if (!this.#host.takeRetry(this.#request.service)) return;
      this.#host.recordDecision(
        this.#request,
        'hedge',
        choice.record,
        'the first upstream is late',
      );
      this.#host.hedging.countSent();
      this.#send(choice, true);
    });
  }

  #isHedgeSent({ record, expected }: Extract<Choice, { kind: 'chosen' }>): boolean {
    const { hedging, now } = this.#host;
    const hasRoom = this.#host.hasRoomForHedge(record);
    const due = { kind: 'due', now: now(), expected, hasRoom } as const;
    return hedging.decide(this.#request.service, due).kind === 'send';
  }

  #recordEnd(pending: PendingAttempt, outcome: AttemptOutcome | undefined): void {
    this.#host.recordAttempt(this.#request, pending, outcome);
    const { sentAt, expected, isHedge } = pending;
    if (isHedge) return;
    const { service, route } = this.#request;
    const now = this.#host.now();
    const isAnswered = outcome?.kind === 'answered' && outcome.answer.status < 500;
    const ended = { now, route: route.kind, elapsed: now - sentAt, expected, isAnswered };
    this.#host.hedging.decide(service, { kind: 'ended', ...ended });
  }

  /** Counts the time of the attempts that a hedged request ran in vain, and whether the hedge won. */
  #recordRace(winner: PendingAttempt): void {
    const attempts = [winner, ...this.#pending];
    if (!attempts.some(({ isHedge }) => isHedge)) return;
    const now = this.#host.now();
    const elapsed = [...this.#pending].reduce((sum, { sentAt }) => sum + now - sentAt, 0);
    this.#host.hedging.decide(this.#request.service, { kind: 'lost', now, elapsed });
    if (winner.isHedge) this.#host.hedging.countWon();
  }

  #handleEnd(pending: PendingAttempt, outcome: AttemptOutcome): void {
    if (this.#isOver) return;
    this.#pending.delete(pending);
    this.#recordEnd(pending, outcome);
    this.#retryState = addAttemptEnd(this.#retryState, outcome);
    const answers = this.#retryState.fallback?.body.length ?? 0;
    this.#host.buffers.update(this, { requests: 0, answers, unbounded: 0 });
    const decision = decideRetry(this.#retryState, outcome);
    switch (decision.kind) {
      case 'answer':
        this.#recordRace(pending);
        this.#answerOrWait(decision.answer);
        return;
      case 'wait':
        return;
      case 'repeat':
        this.#host.waitForCrashCheck(this.#request, pending.record, () => {
          if (!this.#isOver) this.#sendRetry(outcome, decision.isCharged);
        });
        return;
    }
  }

  #sendRetry(outcome: AttemptOutcome, isCharged: boolean): void {
    this.#selectUpstream((choice) => {
      // A hedge may have been sent during the on-demand probes.
      const isAllowed =
        choice.kind === 'chosen' &&
        hasAttemptLeft(this.#retryState) &&
        (!isCharged || this.#host.takeRetry(this.#request.service));
      if (isAllowed) {
        const reason =
          outcome.kind === 'answered' ? `status ${outcome.answer.status}` : outcome.kind;
        this.#host.recordDecision(this.#request, 'sendAgain', choice.record, reason);
        this.#send(choice);
      } else if (this.#retryState.pending === 0)
        this.#answerOrWait(finishRequest(this.#retryState));
    });
  }

  /**
   * Lets a request that upstreams rejected wait for another attempt, if the retry budget has one left. It is taken at
   * once, as a request that waits for a budget that others use up would be held in vain.
   */
  #answerOrWait(answer: FinalAnswer): void {
    const mayWait =
      answer.kind === 'refused' &&
      answer.cause === 'turnedAway' &&
      this.#host.queues !== undefined &&
      this.#host.takeRetry(this.#request.service);
    if (!mayWait) {
      this.#answer(answer);
      return;
    }
    this.#tried = [];
    this.#waitOrRefuse(answer);
  }

  #handleDeadline(): void {
    const { mayHaveRun, pending, fallback } = this.#retryState;
    const isUnsent = mayHaveRun + pending === 0;
    this.#answer(
      isUnsent || fallback !== undefined
        ? finishRequest(this.#retryState)
        : { kind: 'failed', cause: 'timedOut' },
    );
  }

  /** Holds whole answers only, which are not dropped. */
  handleBufferLimit(): void {
    return;
  }

  #finish(): void {
    this.#isOver = true;
    this.#ticket?.leave();
    this.#host.buffers.remove(this);
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#hedgeTimer);
    this.#pending.forEach((pending) => {
      pending.attempt.cancel();
      this.#recordEnd(pending, undefined);
    });
    this.#pending.clear();
  }

  #answer(answer: FinalAnswer, isTimed = false): void {
    if (this.#isOver) return;
    this.#finish();
    this.#onAnswer(isTimed ? answer : this.#setRetryAfter(answer));
  }

  /** Fits the time after which a refused caller comes back to its deadline. */
  #setRetryAfter(answer: FinalAnswer): FinalAnswer {
    const { queues } = this.#host;
    if (queues === undefined || answer.kind !== 'refused' || !RETRYABLE_CAUSES.has(answer.cause))
      return answer;
    if (answer.cause === 'turnedAway') queues.recordRefused(this.#request);
    const retryAfter = queues.computeRetryAfter(this.#request, answer.retryAfter);
    return { ...answer, retryAfter };
  }
}
