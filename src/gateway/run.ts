/**
 * Carries one request through its attempts to its final answer. Invariant: the answer is given exactly
 * once, at the deadline at the latest, and no attempt goes on after it.
 */
import type { Duration, Instant } from '../model/index.js';
import type { Choice } from './choose.js';
import type { Attempt } from './pool.js';
import {
  addAttemptEnd,
  isHedgeable,
  createRepeatState,
  decideAfter,
  hasRunLeft,
  finishRequest,
  type RepeatState,
} from './repeat.js';
import type { AttemptOutcome, FinalAnswer, GatewayRequest, UpstreamRecord } from './types.js';

/** Multiple of the expected time after which a second upstream is asked; one answer in 25 takes longer. */
const HEDGE_RATIO = 1.7;
/** Milliseconds on top of that. */
const HEDGE_SLACK: Duration = 8;
/** Upstreams that are asked for their load for one attempt; nearly always one of them is at its usual pace. */
const MAX_ON_DEMAND_PROBES = 3;
/** Looks without an answer after which the request goes out all the same; each takes its time. */
const MAX_UNANSWERED_PROBES = 2;
/** Milliseconds after which a caller may come back when no upstream may be used. */
const NO_UPSTREAM_RETRY_AFTER: Duration = 200;

/** What a run needs of the gateway. */
export interface RunHost {
  readonly now: () => Instant;
  /** Chooses an upstream that is not among `tried`; of equal ones, one of `looked`. */
  choose(
    request: GatewayRequest,
    tried: readonly UpstreamRecord[],
    justProbed: readonly UpstreamRecord[],
  ): Choice;
  /** Whether the upstream is to be asked for its load before the request goes there. */
  isProbeDue(request: GatewayRequest, record: UpstreamRecord): boolean;
  /** Asks the upstream for its load; `onEnd` is told whether it answered soon enough. */
  probeOnDemand(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void;
  send(
    request: GatewayRequest,
    record: UpstreamRecord,
    onEnd: (outcome: AttemptOutcome) => void,
  ): Attempt;
  /** Takes a repeat of the service's allowance. */
  takeRetry(service: string): boolean;
  /** Tells that an attempt ended, or was given up (`undefined`). */
  recordAttempt(
    request: GatewayRequest,
    sent: SentAttempt,
    outcome: AttemptOutcome | undefined,
  ): void;
  /** Logs a decision beyond the plain good case. */
  recordDecision(
    request: GatewayRequest,
    decision: string,
    record: UpstreamRecord | undefined,
    reason: string,
  ): void;
}

/** What was known of an attempt when it was sent. */
export interface SentAttempt {
  readonly record: UpstreamRecord;
  readonly sentAt: Instant;
  /** Times by which it was expected to take longer than the work. */
  readonly slowdown: number;
}

interface PendingAttempt extends SentAttempt {
  readonly attempt: Attempt;
}

/** The upstreams that were asked for their load for one attempt. */
interface ProbedUpstreams {
  readonly answered: readonly UpstreamRecord[];
  readonly unresponsive: readonly UpstreamRecord[];
}

const NO_PROBED_UPSTREAMS: ProbedUpstreams = { answered: [], unresponsive: [] };

/** One request on its way. */
export class RequestRun {
  readonly #host: RunHost;
  readonly #request: GatewayRequest;
  readonly #onAnswer: (answer: FinalAnswer) => void;
  readonly #pending = new Set<PendingAttempt>();
  readonly #deadlineTimer: NodeJS.Timeout;
  #hedgeTimer: NodeJS.Timeout | undefined;
  #retryState: RepeatState;
  #tried: readonly UpstreamRecord[] = [];
  #isOver = false;

  constructor(host: RunHost, request: GatewayRequest, onAnswer: (answer: FinalAnswer) => void) {
    this.#host = host;
    this.#request = request;
    this.#onAnswer = onAnswer;
    const { kind, maxAttempts } = request.route;
    this.#retryState = createRepeatState(kind !== 'unsafe', maxAttempts);
    this.#deadlineTimer = setTimeout(
      () => {
        this.#handleDeadline();
      },
      Math.max(0, request.deadline - host.now()),
    );
    this.#sendFirst();
  }

  /** Ends the request because its caller left; no answer is given. */
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

  /** Chooses an upstream, after a look at those whose load isn't known well enough. */
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

  /** Chooses among all again if only upstreams that didn't answer a look are left. */
  #choose({ answered, unresponsive }: ProbedUpstreams): Choice {
    const choice = this.#host.choose(this.#request, [...this.#tried, ...unresponsive], answered);
    return choice.kind === 'chosen' || unresponsive.length === 0
      ? choice
      : this.#host.choose(this.#request, this.#tried, answered);
  }

  #sendFirst(): void {
    this.#selectUpstream((choice) => {
      this.#handleFirstChoice(choice);
    });
  }

  #handleFirstChoice(choice: Choice): void {
    switch (choice.kind) {
      case 'chosen':
        this.#send(choice);
        return;
      case 'noRoom':
        this.#answer({ kind: 'refused', cause: 'overloaded', retryAfter: choice.wait });
        return;
      case 'noUpstream':
        this.#answer({ kind: 'refused', cause: 'noUpstream', retryAfter: NO_UPSTREAM_RETRY_AFTER });
        return;
    }
  }

  #send({ record, expected, slowdown }: Extract<Choice, { kind: 'chosen' }>): void {
    const sentAt = this.#host.now();
    this.#tried = [...this.#tried, record];
    this.#retryState = { ...this.#retryState, pending: this.#retryState.pending + 1 };
    const pending: PendingAttempt = {
      record,
      sentAt,
      slowdown,
      attempt: this.#host.send(this.#request, record, (outcome) => {
        this.#handleEnd(pending, outcome);
      }),
    };
    this.#pending.add(pending);
    if (!isHedgeable(this.#retryState)) return;
    clearTimeout(this.#hedgeTimer);
    this.#hedgeTimer = setTimeout(
      () => {
        this.sendHedge();
      },
      expected * HEDGE_RATIO + HEDGE_SLACK,
    );
  }

  /** Asks a second upstream, as the first one takes longer than work does there. */
  sendHedge(): void {
    if (this.#isOver || !isHedgeable(this.#retryState)) return;
    this.#selectUpstream((choice) => {
      const isAllowed = !this.#isOver && isHedgeable(this.#retryState) && choice.kind === 'chosen';
      if (!isAllowed || !this.#host.takeRetry(this.#request.service)) return;
      this.#host.recordDecision(
        this.#request,
        'hedge',
        choice.record,
        'the first upstream is late',
      );
      this.#send(choice);
    });
  }

  #handleEnd(pending: PendingAttempt, outcome: AttemptOutcome): void {
    if (this.#isOver) return;
    this.#pending.delete(pending);
    this.#host.recordAttempt(this.#request, pending, outcome);
    this.#retryState = addAttemptEnd(this.#retryState, outcome);
    const decision = decideAfter(this.#retryState, outcome);
    switch (decision.kind) {
      case 'answer':
        this.#answer(decision.answer);
        return;
      case 'wait':
        return;
      case 'repeat':
        this.#sendRetry(outcome, decision.isCharged);
        return;
    }
  }

  #sendRetry(outcome: AttemptOutcome, isCharged: boolean): void {
    this.#selectUpstream((choice) => {
      // Another attempt may have begun meanwhile.
      const isAllowed =
        choice.kind === 'chosen' &&
        hasRunLeft(this.#retryState) &&
        (!isCharged || this.#host.takeRetry(this.#request.service));
      if (isAllowed) {
        const reason =
          outcome.kind === 'answered' ? `status ${outcome.answer.status}` : outcome.kind;
        this.#host.recordDecision(this.#request, 'sendAgain', choice.record, reason);
        this.#send(choice);
      } else if (this.#retryState.pending === 0) this.#answer(finishRequest(this.#retryState));
    });
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

  #finish(): void {
    this.#isOver = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#hedgeTimer);
    this.#pending.forEach((pending) => {
      pending.attempt.cancel();
      this.#host.recordAttempt(this.#request, pending, undefined);
    });
    this.#pending.clear();
  }

  #answer(answer: FinalAnswer): void {
    if (this.#isOver) return;
    this.#finish();
    this.#onAnswer(answer);
  }
}
