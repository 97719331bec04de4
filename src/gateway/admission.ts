/**
 * Admits callers' requests by the state that the gateway has. Invariant: a request waits for a state at most once and
 * within the bounds of {@link computeWait}; a route is denied by a fresh state only.
 */
import type { Route } from '../catalog/index.js';
import type { Follower } from '../feed/index.js';
import { getHeader, type HeaderList, type RequestHead } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import { buildLocalAnswer, buildRefusal, NOT_READY_RETRY_AFTER } from './answers.js';
import type { CallerAnswer, CallerRequest, ServedRequest } from './caller.js';
import { decideByAge, type StateVerdict } from './freshness.js';
import { decideStartupWait } from './startup.js';
import { describeState } from './statelines.js';
import { MAX_CHECK_WAIT, StateWatch } from './statewatch.js';
import type { GatewayRequest, HeaderDialect } from './types.js';
import { computeWait, WaitingRequests } from './waiting.js';

const log = createLogger('gateway');

/** Whose request it is and which header fields it is sent with. */
export type RequestAccess = Pick<GatewayRequest, 'headers' | 'callerHeaders' | 'account' | 'rank'>;

/** A request that is admitted, with its route and when it was matched to it. */
export interface AdmittedRequest {
  readonly request: CallerRequest;
  readonly id: string;
  readonly route: Route;
  readonly matchedAt: Instant;
  readonly access: RequestAccess;
}

type AnswerListener = (answer: CallerAnswer) => void;

/** Options of {@link RequestAdmission}. */
export interface AdmissionOptions {
  readonly follower: Follower;
  readonly now: () => Instant;
  readonly dialect: HeaderDialect;
  /** Age in milliseconds up to which the state counts as current. */
  readonly freshFor: Duration;
  /** Whether the gateway has what it needs to serve, whatever its age. */
  readonly canServe: () => boolean;
  readonly findRoute: (head: RequestHead) => Route | undefined;
  readonly serve: (
    admitted: AdmittedRequest,
    onAnswer: AnswerListener,
  ) => ServedRequest | undefined;
}

/** Decides on each request of a gateway whether it is served, waits or is refused. */
export class RequestAdmission {
  readonly #options: AdmissionOptions;
  readonly #startedAt: Instant;
  readonly #waiting = new WaitingRequests();
  readonly stateWatch: StateWatch;

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    this.stateWatch = new StateWatch({
      ...{ follower: options.follower, now: options.now, freshFor: options.freshFor },
      onSettled: () => {
        this.startWaiting();
      },
    });
  }

  /** Decides on the requests that wait, if the gateway can serve and no check is under way. */
  startWaiting(): void {
    if (!this.#options.canServe() || this.stateWatch.look() === 'checking') return;
    this.#waiting.startAll();
  }

  close(): void {
    this.stateWatch.close();
  }

  /** Serves a request, now or after a wait, or refuses it; `onAnswer` is called once unless it is cancelled. */
  admit(request: CallerRequest, onAnswer: AnswerListener): ServedRequest | undefined {
    if (!this.#options.canServe()) return this.#waitForTable(request, onAnswer);
    return this.#decide(request, onAnswer, { matchedAt: request.arrivedAt, hasWaited: false });
  }

  #decide(
    request: CallerRequest,
    onAnswer: AnswerListener,
    { matchedAt, hasWaited }: { readonly matchedAt: Instant; readonly hasWaited: boolean },
  ): ServedRequest | undefined {
    const timeLeft = this.#computeTimeLeft(request);
    const time = computeWait(MAX_CHECK_WAIT, { timeLeft, waiting: this.#waiting.size });
    const verdict = this.stateWatch.look();
    const route = this.#options.findRoute(request.head);
    const mayWait = !hasWaited && time > 0;
    const decision = decideByAge(verdict, { hasRoute: route !== undefined, mayWait });
    if (decision === 'wait') return this.#waiting.add(time, () => this.#goOn(request, onAnswer));
    if (decision === 'refuse') this.#refuseForAge(request, verdict, onAnswer);
    else if (route === undefined) this.#denyRoute(request, onAnswer);
    else {
      const id = this.#getId(request);
      const { headers } = request.head;
      const access = { headers, callerHeaders: headers, account: undefined, rank: route.rank };
      return this.#options.serve({ request, id, route, matchedAt, access }, onAnswer);
    }
    return undefined;
  }

  /** Decides on a request that has waited. */
  #goOn(request: CallerRequest, onAnswer: AnswerListener): ServedRequest | undefined {
    return this.#decide(request, onAnswer, { matchedAt: this.#options.now(), hasWaited: true });
  }

  /** Serves the request once the first route table arrives, or refuses it. */
  #waitForTable(request: CallerRequest, onAnswer: AnswerListener): ServedRequest | undefined {
    const decision = decideStartupWait(
      { startedAt: this.#startedAt, now: this.#options.now(), waiting: this.#waiting.size },
      this.#computeTimeLeft(request),
    );
    switch (decision.kind) {
      case 'refuse':
        this.#refuseUntilReady(request, onAnswer);
        return undefined;
      case 'wait':
        return this.#waiting.add(decision.time, (isInTime) => {
          if (isInTime) return this.#goOn(request, onAnswer);
          this.#refuseUntilReady(request, onAnswer);
          return undefined;
        });
    }
  }

  /** Milliseconds until the deadline that the caller named; 0 if it named none, or if it has passed. */
  #computeTimeLeft({ head, arrivedAt }: CallerRequest): Duration {
    const requestedTime = Number(getHeader(head.headers, this.#options.dialect.deadline) ?? 0);
    return Math.max(0, requestedTime - (this.#options.now() - arrivedAt));
  }

  #getId({ head }: CallerRequest): string {
    return getHeader(head.headers, this.#options.dialect.requestId) ?? '';
  }

  #listIdHeaders(request: CallerRequest): HeaderList {
    const id = this.#getId(request);
    return id === '' ? [] : [[this.#options.dialect.requestId, id]];
  }

  #logRefusal(
    request: CallerRequest,
    cause: string,
    fields: Readonly<Record<string, string | boolean>> = {},
  ): void {
    const id = this.#getId(request);
    log.info('request refused', { id, cause, ...fields, ...describeState(this.#options.follower) });
  }

  #denyRoute(request: CallerRequest, onAnswer: AnswerListener): void {
    this.#logRefusal(request, 'noRoute');
    const idHeaders = this.#listIdHeaders(request);
    onAnswer(buildLocalAnswer(404, 'no route matches this host and path', idHeaders));
  }

  #refuseUntilReady(request: CallerRequest, onAnswer: AnswerListener): void {
    this.#logRefusal(request, 'notReady');
    onAnswer(
      buildLocalAnswer(503, 'no configuration has come yet', [
        ...this.#listIdHeaders(request),
        ['Retry-After', String(NOT_READY_RETRY_AFTER / 1000)],
      ]),
    );
  }

  /** Refuses a request that the present state is too old for. */
  #refuseForAge(request: CallerRequest, verdict: StateVerdict, onAnswer: AnswerListener): void {
    this.stateWatch.recordRefusal();
    const { isBehind, isAlone } = this.#options.follower;
    this.#logRefusal(request, 'stale', { verdict, isBehind, isAlone });
    onAnswer(buildRefusal('stale', NOT_READY_RETRY_AFTER, this.#listIdHeaders(request)));
  }
}
