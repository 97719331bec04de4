/**
 * One call, from its arrival to its response. Invariants: the caller gets exactly one response; a request
 * that is not idempotent is never retried once it may have run; `not run` is only reported if no upstream
 * ran the request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import { checkInvariant, type Address, type Instant } from '../model/index.js';
import type { AttemptFailure, RoutingEffect, RoutingEvent } from '../routing/types.js';
import { Attempt, type AttemptOwner } from './attempt.js';
import type { RequestBody } from './body.js';
import { buildForwardedHeaders, type UpstreamResponseHead } from './headers.js';
import type { CallHead } from './head.js';
import type { CallOutcome, CallSpan, ClaimSettlement, FinishedCall } from './ports.js';
import { describeRefusal, writeRefusal, type Refusal } from './refusal.js';
import { ResponseWriter } from './response.js';
import type { UpstreamPools } from './upstreams.js';

/** Services of the entry that its calls share. */
export interface CallContext {
  readonly pools: UpstreamPools;
  /** Passes an event to the routing decisions and performs the resulting effects. */
  readonly dispatch: (event: RoutingEvent) => void;
  readonly getNow: () => Instant;
  readonly getRandom: () => number;
  /** Called exactly once, when the call ends. */
  readonly onEnd: (call: CallRun, finished: FinishedCall) => void;
}

/** The properties of a call that are fixed when it begins. */
export interface CallStart {
  readonly id: number;
  readonly head: CallHead;
  readonly body: RequestBody;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: Instant;
  readonly span: CallSpan | undefined;
}

/** A routing effect that concerns one call. */
export type CallEffect = Extract<RoutingEffect, { readonly callId: number }>;

/** Runs one call: reports its events to the routing decisions and performs their effects on it. */
export class CallRun implements AttemptOwner {
  readonly id: number;
  readonly head: CallHead;
  readonly deadline: Instant;
  readonly #context: CallContext;
  readonly #start: CallStart;
  readonly #timer: NodeJS.Timeout;
  /** The latest attempt. */
  #attempt: Attempt | undefined;
  #attemptCount = 0;
  /** Whether an attempt before the latest one may have run the request. */
  #earlierAttemptMayHaveRun = false;
  #undeliveredHead: UpstreamResponseHead | undefined;
  #writer: ResponseWriter | undefined;
  #status = 0;
  #isInRouting = false;
  #hasEnded = false;
  #callerDisconnected = false;
  #settle: ((settlement: ClaimSettlement) => void) | undefined;
  #claimValidUntil: Instant = Infinity;

  private constructor(context: CallContext, start: CallStart) {
    this.#context = context;
    this.#start = start;
    this.id = start.id;
    this.head = start.head;
    this.deadline = start.arrivedAt + start.head.deadline;
    this.#timer = setTimeout(() => {
      this.#expire();
    }, start.head.deadline);
    start.response.on('close', () => {
      this.#handleCallerDisconnect();
    });
  }

  /** Creates a call and starts the timer of its deadline. */
  static create(context: CallContext, start: CallStart): CallRun {
    return new CallRun(context, start);
  }

  /** Whether the call was answered, refused, truncated or cancelled. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.#earlierAttemptMayHaveRun || this.#attempt?.mayHaveRun === true;
  }

  /** Attaches a granted claim: the end of the call settles it, and after `validUntil` nothing is sent. */
  attachClaim(settle: (settlement: ClaimSettlement) => void, validUntil: Instant): void {
    this.#settle = settle;
    this.#claimValidUntil = validUntil;
  }

  /** Returns whether the claim is still valid, and refuses the call if not, as after a process pause. */
  canWrite(): boolean {
    if (this.#context.getNow() < this.#claimValidUntil) return true;
    this.#leaveRouting();
    this.refuse({ kind: 'notRun', reason: 'claimUnavailable', retryAfter: 0 });
    return false;
  }

  /** Passes the call to the routing decisions. */
  enterRouting(fingerprint: string): void {
    const { service, route } = this.head.target;
    this.#isInRouting = true;
    this.#context.dispatch({
      kind: 'arrived',
      call: {
        id: this.id,
        service,
        route,
        idempotent: this.head.idempotent,
        replayable: this.#start.body.isFullyBuffered,
        criticality: this.head.criticality,
        deadline: this.deadline,
        fingerprint,
        depth: this.head.hops,
      },
      now: this.#context.getNow(),
      random: this.#context.getRandom(),
    });
  }

  /** Performs an effect of the routing decisions. */
  apply(effect: CallEffect): void {
    if (this.#hasEnded) return;
    switch (effect.kind) {
      case 'send':
        this.#send(effect.upstreamId, effect.address);
        break;
      case 'deliver':
        this.#deliver();
        break;
      case 'refuse':
        this.#isInRouting = false;
        this.refuse({ kind: 'notRun', reason: effect.reason, retryAfter: effect.retryAfter });
        break;
      case 'fail':
        this.#isInRouting = false;
        this.#refuseAfterFailure(effect.failure);
        break;
    }
  }

  /** Ends the call with a response of the entry itself. */
  refuse(refusal: Refusal): void {
    if (this.#hasEnded) return;
    checkInvariant(this.#writer === undefined, 'a call that already has a response was refused');
    checkInvariant(
      refusal.kind !== 'notRun' || !this.mayHaveRun,
      'a request that may have run was reported as not run',
    );
    this.#settleClaim({ kind: this.mayHaveRun ? 'unknown' : 'notRun' });
    if (!this.#callerDisconnected) this.#status = writeRefusal(this.#start.response, refusal);
    const { reason } = describeRefusal(refusal);
    this.#end(refusal.kind === 'unknown' ? 'unknown' : 'refused', reason);
  }

  /** Ends a call whose response was written elsewhere, as for a replay. */
  finish(outcome: CallOutcome, status: number): void {
    this.#status = status;
    this.#end(outcome, '');
  }

  /** Ends a call after an internal error; reports an unknown outcome, as the request may have run. */
  abandon(): void {
    if (this.#hasEnded) return;
    this.#earlierAttemptMayHaveRun = true;
    this.#attempt?.abort();
    this.#leaveRouting();
    if (this.#writer === undefined) this.refuse({ kind: 'unknown', failure: 'lost' });
    else this.#truncate();
  }

  buildOptions(): Dispatcher.DispatchOptions {
    const { request, body, span } = this.#start;
    const { head } = this;
    const remaining = Math.max(1, Math.floor(this.deadline - this.#context.getNow()));
    const trace = span?.traceparent ?? request.headers.traceparent;
    const content = body.open();
    const headers = buildForwardedHeaders(request, {
      deadline: remaining,
      criticality: head.criticality,
      hops: head.hops + 1,
      traceparent: typeof trace === 'string' ? trace : undefined,
      contentLength: Buffer.isBuffer(content) ? undefined : body.length,
    });
    return { method: head.method, path: head.target.path, headers, body: content };
  }

  handleHead(attempt: Attempt, head: UpstreamResponseHead): boolean {
    if (attempt !== this.#attempt || this.#hasEnded) return false;
    this.#undeliveredHead = head;
    this.#context.dispatch({
      kind: 'headArrived',
      callId: this.id,
      status: head.status,
      notRun: head.notRun,
      report: head.load,
      now: this.#context.getNow(),
      random: this.#context.getRandom(),
    });
    this.#undeliveredHead = undefined;
    return this.#writer !== undefined;
  }

  handleChunk(chunk: Buffer, resume: () => void): boolean {
    return this.#writer?.writeChunk(chunk, resume) ?? true;
  }

  handleEnd(): void {
    if (this.#hasEnded) return;
    const stored = this.#writer?.finish();
    const mayHaveRun = this.mayHaveRun;
    if (!mayHaveRun) this.#settleClaim({ kind: 'notRun' });
    else this.#settleClaim(stored ? { kind: 'answered', ...stored } : { kind: 'unknown' });
    this.#leaveRouting(true);
    this.#end('answered', '');
  }

  handleFailure(attempt: Attempt): void {
    if (attempt !== this.#attempt || this.#hasEnded) return;
    if (this.#writer === undefined)
      this.#reportFailure(attempt.mayHaveRun ? 'lost' : 'unreachable');
    else this.#truncate();
  }

  #send(upstreamId: string, address: Address): void {
    checkInvariant(
      this.#writer === undefined,
      'a call was sent again after its response had begun',
    );
    checkInvariant(
      this.head.idempotent || !this.mayHaveRun,
      'a request that is not idempotent and may have run was sent again',
    );
    this.#earlierAttemptMayHaveRun = this.mayHaveRun;
    if (this.#attempt?.isAwaitingHead === true) this.#attempt.abort();
    this.#attemptCount += 1;
    const pool = this.#context.pools.get(upstreamId, address);
    if (pool === undefined) {
      this.#attempt = undefined;
      this.#reportFailure('unreachable');
      return;
    }
    this.#attempt = Attempt.create(this, pool, upstreamId, this.head.method);
    this.#attempt.start();
  }

  #deliver(): void {
    const head = this.#undeliveredHead;
    checkInvariant(head !== undefined, 'a response was delivered before its head arrived');
    const writer = ResponseWriter.create(this.#start.response, this.#settle !== undefined);
    if (this.#callerDisconnected) writer.detach();
    this.#writer = writer;
    this.#status = head.status;
    writer.writeHead(head);
  }

  #truncate(): void {
    this.#settleClaim({ kind: 'unknown' });
    this.#writer?.truncate();
    this.#leaveRouting(false);
    this.#end('cut', 'cut');
  }

  /** Refuses a call after its last attempt failed or its deadline passed. */
  #refuseAfterFailure(failure: AttemptFailure): void {
    const reason = failure === 'timedOut' ? 'deadlineTooShort' : 'retriesSpent';
    if (this.mayHaveRun) this.refuse({ kind: 'unknown', failure });
    else this.refuse({ kind: 'notRun', reason, retryAfter: 0 });
  }

  #expire(): void {
    if (this.#hasEnded || this.#writer !== undefined) return;
    const attempt = this.#attempt;
    if (attempt?.isAwaitingHead === true && attempt.mayHaveRun) {
      attempt.abort();
      this.#reportFailure('timedOut');
    }
    if (this.hasEnded) return;
    this.#attempt?.abort();
    this.#leaveRouting();
    this.#refuseAfterFailure('timedOut');
  }

  /**
   * Cancels the call, unless it holds a claim and may have run: then the response is still read, so that a
   * retry with the same idempotency key can be answered.
   */
  #handleCallerDisconnect(): void {
    if (this.#hasEnded) return;
    this.#callerDisconnected = true;
    if (this.#settle !== undefined && this.mayHaveRun) {
      this.#writer?.detach();
      return;
    }
    this.#attempt?.abort();
    this.#settleClaim({ kind: this.mayHaveRun ? 'unknown' : 'notRun' });
    this.#leaveRouting();
    this.#end('cancelled', 'cancelled');
  }

  #reportFailure(failure: AttemptFailure): void {
    this.#context.dispatch({
      kind: 'failed',
      callId: this.id,
      failure,
      now: this.#context.getNow(),
      random: this.#context.getRandom(),
    });
  }

  /**
   * Notifies the routing decisions that the call has ended; `complete` is whether the whole response
   * arrived, or undefined if the call was cancelled.
   */
  #leaveRouting(complete?: boolean): void {
    if (!this.#isInRouting) return;
    this.#isInRouting = false;
    const common = {
      callId: this.id,
      now: this.#context.getNow(),
      random: this.#context.getRandom(),
    };
    if (complete === undefined) this.#context.dispatch({ kind: 'cancelled', ...common });
    else this.#context.dispatch({ kind: 'finished', complete, ...common });
  }

  #settleClaim(settlement: ClaimSettlement): void {
    const settle = this.#settle;
    this.#settle = undefined;
    settle?.(settlement);
  }

  #end(outcome: CallOutcome, reason: string): void {
    checkInvariant(!this.#hasEnded, 'a call ended twice');
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#start.body.release();
    const finished: FinishedCall = {
      service: this.head.target.service,
      route: this.head.target.route,
      method: this.head.method,
      criticality: this.head.criticality,
      status: this.#status,
      outcome,
      reason,
      latency: this.#context.getNow() - this.#start.arrivedAt,
      upstreamId: this.#attempt?.upstreamId ?? '',
      attempts: this.#attemptCount,
    };
    this.#start.span?.end(finished);
    this.#context.onEnd(this, finished);
  }
}
