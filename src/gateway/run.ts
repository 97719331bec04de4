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
  createRetryState,
  decideRetry,
  hasAttemptLeft,
  finishRequest,
  type RetryState,
} from './retry.js';
import type { AttemptOutcome, FinalAnswer, GatewayRequest, UpstreamRecord } from './types.js';

/** Multiple of the expected time after which a second upstream is asked; one answer in 25 takes longer. */
const HEDGE_RATIO = 1.7;
/** Milliseconds on top of that. */
const HEDGE_SLACK: Duration = 8;
/** Upstreams that are asked for their load for one attempt; nearly always one of them is at its usual pace. */
const MAX_LOOKS = 3;
/** Looks without an answer after which the request goes out all the same; each takes its time. */
const MAX_SILENT_LOOKS = 2;
/** Milliseconds after which a caller may come back when no upstream may be used. */
const NO_UPSTREAM_DELAY: Duration = 200;

/** What a run needs of the gateway. */
export interface RunHost {
  readonly now: () => Instant;
  /** Chooses an upstream that is not among `tried`; of equal ones, one of `looked`. */
  choose(
    request: GatewayRequest,
    tried: readonly UpstreamRecord[],
    looked: readonly UpstreamRecord[],
  ): Choice;
  /** Whether the upstream is to be asked for its load before the request goes there. */
  isLookDue(request: GatewayRequest, record: UpstreamRecord): boolean;
  /** Asks the upstream for its load; `onEnd` is told whether it answered soon enough. */
  look(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void;
  send(
    request: GatewayRequest,
    record: UpstreamRecord,
    onEnd: (outcome: AttemptOutcome) => void,
  ): Attempt;
  /** Takes a repeat of the service's allowance. */
  takeRepeat(service: string): boolean;
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
interface Looks {
  readonly answered: readonly UpstreamRecord[];
  readonly silent: readonly UpstreamRecord[];
}

const NO_LOOKS: Looks = { answered: [], silent: [] };

/** One request on its way. */
export class RequestRun {
  readonly #host: RunHost;
  readonly #request: GatewayRequest;
  readonly #onAnswer: (answer: FinalAnswer) => void;
  readonly #pending = new Set<PendingAttempt>();
  readonly #deadline: NodeJS.Timeout;
  #hedge: NodeJS.Timeout | undefined;
  #state: RetryState;
  #tried: readonly UpstreamRecord[] = [];
  #isOver = false;

  constructor(host: RunHost, request: GatewayRequest, onAnswer: (answer: FinalAnswer) => void) {
    this.#host = host;
    this.#request = request;
    this.#onAnswer = onAnswer;
    const { kind, maxAttempts } = request.route;
    this.#state = createRetryState(kind !== 'unsafe', maxAttempts);
    this.#deadline = setTimeout(
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
    this.#end();
  }

  /** Chooses an upstream, after a look at those whose load isn't known well enough. */
  #place(onPlaced: (choice: Choice) => void, past: Looks = NO_LOOKS): void {
    const choice = this.#choose(past);
    const isDue =
      past.answered.length + past.silent.length < MAX_LOOKS &&
      past.silent.length < MAX_SILENT_LOOKS &&
      choice.kind === 'chosen' &&
      !past.answered.includes(choice.record) &&
      this.#host.isLookDue(this.#request, choice.record);
    if (!isDue) {
      onPlaced(choice);
      return;
    }
    const { record } = choice;
    this.#host.look(record, (isAnswered) => {
      if (this.#isOver) return;
      const { answered, silent } = past;
      this.#place(
        onPlaced,
        isAnswered
          ? { silent, answered: [...answered, record] }
          : { answered, silent: [...silent, record] },
      );
    });
  }

  /** Chooses among all again if only upstreams that didn't answer a look are left. */
  #choose({ answered, silent }: Looks): Choice {
    const choice = this.#host.choose(this.#request, [...this.#tried, ...silent], answered);
    return choice.kind === 'chosen' || silent.length === 0
      ? choice
      : this.#host.choose(this.#request, this.#tried, answered);
  }

  #sendFirst(): void {
    this.#place((choice) => {
      this.#handleFirst(choice);
    });
  }

  #handleFirst(choice: Choice): void {
    switch (choice.kind) {
      case 'chosen':
        this.#send(choice);
        return;
      case 'noRoom':
        this.#answer({ kind: 'refused', cause: 'overloaded', retryAfter: choice.wait });
        return;
      case 'noUpstream':
        this.#answer({ kind: 'refused', cause: 'noUpstream', retryAfter: NO_UPSTREAM_DELAY });
        return;
    }
  }

  #send({ record, expected, slowdown }: Extract<Choice, { kind: 'chosen' }>): void {
    const sentAt = this.#host.now();
    this.#tried = [...this.#tried, record];
    this.#state = { ...this.#state, pending: this.#state.pending + 1 };
    const pending: PendingAttempt = {
      record,
      sentAt,
      slowdown,
      attempt: this.#host.send(this.#request, record, (outcome) => {
        this.#handleEnd(pending, outcome);
      }),
    };
    this.#pending.add(pending);
    if (!isHedgeable(this.#state)) return;
    clearTimeout(this.#hedge);
    this.#hedge = setTimeout(
      () => {
        this.sendHedge();
      },
      expected * HEDGE_RATIO + HEDGE_SLACK,
    );
  }

  /** Asks a second upstream, as the first one takes longer than work does there. */
  sendHedge(): void {
    if (this.#isOver || !isHedgeable(this.#state)) return;
    this.#place((choice) => {
      const isAllowed = !this.#isOver && isHedgeable(this.#state) && choice.kind === 'chosen';
      if (!isAllowed || !this.#host.takeRepeat(this.#request.service)) return;
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
    this.#state = addAttemptEnd(this.#state, outcome);
    const decision = decideRetry(this.#state, outcome);
    switch (decision.kind) {
      case 'answer':
        this.#answer(decision.answer);
        return;
      case 'wait':
        return;
      case 'repeat':
        this.#sendAgain(outcome, decision.isCharged);
        return;
    }
  }

  #sendAgain(outcome: AttemptOutcome, isCharged: boolean): void {
    this.#place((choice) => {
      // Another attempt may have begun meanwhile.
      const isAllowed =
        choice.kind === 'chosen' &&
        hasAttemptLeft(this.#state) &&
        (!isCharged || this.#host.takeRepeat(this.#request.service));
      if (isAllowed) {
        const reason =
          outcome.kind === 'answered' ? `status ${outcome.answer.status}` : outcome.kind;
        this.#host.recordDecision(this.#request, 'sendAgain', choice.record, reason);
        this.#send(choice);
      } else if (this.#state.pending === 0) this.#answer(finishRequest(this.#state));
    });
  }

  #handleDeadline(): void {
    const { mayHaveRun, pending, fallback } = this.#state;
    const isUnsent = mayHaveRun + pending === 0;
    this.#answer(
      isUnsent || fallback !== undefined
        ? finishRequest(this.#state)
        : { kind: 'failed', cause: 'timedOut' },
    );
  }

  #end(): void {
    this.#isOver = true;
    clearTimeout(this.#deadline);
    clearTimeout(this.#hedge);
    this.#pending.forEach((pending) => {
      pending.attempt.cancel();
      this.#host.recordAttempt(this.#request, pending, undefined);
    });
    this.#pending.clear();
  }

  #answer(answer: FinalAnswer): void {
    if (this.#isOver) return;
    this.#end();
    this.#onAnswer(answer);
  }
}
