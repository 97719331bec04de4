/**
 * Admits callers' requests by the state that the gateway has. Invariant: a request waits for a state at most once and
 * within the bounds of {@link computeWait}, and is checked again after it; a route or a key is denied by a fresh state
 * only.
 */
import {
  AccountIndexCache,
  decideAccess,
  getRank,
  isGranted,
  parseCredential,
  replaceAccountFields,
  type Access,
} from '../accounts/index.js';
import type { Route } from '../catalog/index.js';
import type { Follower } from '../feed/index.js';
import { getHeader, type HeaderList, type RequestHead } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import { buildLocalAnswer, buildRefusal, NOT_READY_RETRY_AFTER } from './answers.js';
import type { CallerAnswer, CallerRequest, ServedRequest } from './caller.js';
import { decideByAge, type AgeDecision, type StateVerdict } from './freshness.js';
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

/** Numbers of requests that were refused by the state. */
export interface RefusalCounts {
  /** Because the state was too old. */
  readonly forAge: number;
  /** Because their key is missing, malformed or not known. */
  readonly forKey: number;
}

/** What the present state says of a request. */
export interface RequestCheck {
  readonly decision: AgeDecision;
  readonly verdict: StateVerdict;
  readonly route: Route | undefined;
  /** What the request's key allows on the route; undefined without a route. */
  readonly access: Access | undefined;
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
  readonly #accounts = new AccountIndexCache();
  #refusedForKey = 0;

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

  get refusals(): RefusalCounts {
    return { forAge: this.stateWatch.refused, forKey: this.#refusedForKey };
  }

  /**
   * Checks by the present state whether a request may be sent. Whoever holds a request back checks it again before it
   * goes on, as its route or its key may have been removed in between.
   */
  check(head: RequestHead, mayWait: boolean): RequestCheck {
    const { follower, dialect } = this.#options;
    const verdict = this.stateWatch.look();
    const route = this.#options.findRoute(head);
    const access =
      route &&
      decideAccess(
        this.#accounts.get(follower.view.catalog.table),
        route,
        parseCredential(head.headers, dialect.authorization),
        { isFresh: verdict === 'fresh', age: follower.age },
      );
    const isAllowed = access !== undefined && isGranted(access);
    return { decision: decideByAge(verdict, { isAllowed, mayWait }), verdict, route, access };
  }

  /** Whether a request that was admitted earlier may be sent by the present state: by its route, its part and its key. */
  isStillAllowed({ method, target, callerHeaders, service }: GatewayRequest): boolean {
    const head: RequestHead = { method, target, headers: callerHeaders, minorVersion: 1 };
    const { decision, route } = this.check(head, false);
    return (
      decision === 'serve' &&
      route?.parts.some((part) => part.service === service && part.weight > 0) === true
    );
  }

  #decide(
    request: CallerRequest,
    onAnswer: AnswerListener,
    { matchedAt, hasWaited }: { readonly matchedAt: Instant; readonly hasWaited: boolean },
  ): ServedRequest | undefined {
    const timeLeft = this.#computeTimeLeft(request);
    const time = computeWait(MAX_CHECK_WAIT, { timeLeft, waiting: this.#waiting.size });
    const { head } = request;
    const { decision, verdict, route, access } = this.check(head, !hasWaited && time > 0);
    if (decision === 'wait') return this.#waiting.add(time, () => this.#goOn(request, onAnswer));
    if (decision === 'refuse') this.#refuseForAge(request, verdict, onAnswer);
    else if (route === undefined || access === undefined) this.#denyRoute(request, onAnswer);
    else if (decision === 'deny') this.#denyKey(request, route, access, onAnswer);
    else {
      const id = this.#getId(request);
      const granted: RequestAccess = {
        headers: replaceAccountFields(head.headers, access, this.#options.dialect),
        callerHeaders: head.headers,
        account: access.kind === 'account' ? access.account.name : undefined,
        rank: getRank(access, route),
      };
      return this.#options.serve({ request, id, route, matchedAt, access: granted }, onAnswer);
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

  /** Denies a request for its key, which appears in no log line and no answer. */
  #denyKey(request: CallerRequest, route: Route, access: Access, onAnswer: AnswerListener): void {
    this.#refusedForKey += 1;
    const cause = access.kind === 'denied' ? access.cause : 'unknownKey';
    this.#logRefusal(request, cause, { route: route.name });
    onAnswer(
      buildLocalAnswer(401, 'not run: the key of a client account is needed', [
        ...this.#listIdHeaders(request),
        ['WWW-Authenticate', 'Bearer'],
      ]),
    );
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
