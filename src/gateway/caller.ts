/**
 * One HTTP/1 connection of a caller, with pipelining. Invariant: each request that was read gets one answer, in request
 * order and with its length, and a non-idempotent request is not started before all earlier answers were written.
 */
import type { Socket } from 'node:net';
import {
  processClients,
  type ClientConnections,
  type ConnectionState,
} from '../admission/index.js';
import {
  computeHeadCost,
  getHeader,
  MessageReader,
  renderHead,
  requestGrammar,
  type HeaderList,
  type MessageLimits,
  type ProtocolError,
  type ReaderEvent,
  type RequestHead,
} from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import type { BufferBudget, BufferHolder } from './buffers.js';
import { isLastInStop, isStartedInStop, type ConnectionPhase } from './stopping.js';

/** Steps as which a request counts that is started: it costs about as much as parsing so many pieces. */
const STEPS_PER_REQUEST = 64;
/**
 * Milliseconds for which a caller may take to close its end once the kernel has the whole last answer. Until then input
 * is read and discarded, as closing a socket with unread input resets it, which discards what waits to be sent.
 */
const LINGER_TIME: Duration = 2000;
/** Milliseconds that a caller may take to receive its last answer; the largest take seconds on a slow link. */
const MAX_LINGER_TIME: Duration = 30_000;
/** Milliseconds for which a caller may take none of the bytes of an answer before its connection is closed. */
const MAX_STALL_TIME: Duration = 30_000;

/** An answer as it is sent to the caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly reason: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

/** A request that was read completely. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly hasBody: boolean;
  /** When the request's head was read. */
  readonly arrivedAt: Instant;
  /** Address from which the caller connected. */
  readonly peer?: string | undefined;
}

/** Handle of a request that is being served. */
export interface ServedRequest {
  cancel(): void;
}

/** Why a request is not served that can't be read, or does not arrive in full. */
export interface RequestFault {
  readonly status: ProtocolError['status'] | 408;
  readonly reason: string;
}

/** The gateway's functions that a {@link CallerConnection} calls. */
export interface CallerHost {
  readonly now: () => Instant;
  /** Returns whether a request may run more than once. */
  isIdempotent(head: RequestHead): boolean;
  /** Milliseconds for which the caller waits for the answer; undefined if it doesn't say. */
  getTimeLimit(head: RequestHead): Duration | undefined;
  /** Serves a request; `onAnswer` is called once unless it is cancelled. */
  serve(
    request: CallerRequest,
    onAnswer: (answer: CallerAnswer) => void,
  ): ServedRequest | undefined;
  /** Whether the gateway is stopping, so that connections are closed after the next answer. */
  isStopping(): boolean;
  renderFault(fault: RequestFault): CallerAnswer;
  /** Renders the refusal of a request whose body there is no room for. */
  renderNoRoom(head: RequestHead): CallerAnswer;
  /** Called when the connection has ended: its last answer was received, or its caller is gone. */
  onClose(connection: CallerConnection): void;
}

interface PipelinedRequest {
  readonly request: CallerRequest;
  readonly isIdempotent: boolean;
  /** Whether the connection is closed after this answer. */
  readonly isLast: boolean;
  /** Bytes of memory that its head takes. */
  readonly headCost: number;
  served: ServedRequest | undefined;
  isStarted: boolean;
  answer: CallerAnswer | undefined;
}

/** A request whose answer the caller has not received completely. */
export interface UnfinishedRequest {
  readonly head: RequestHead;
  readonly cause: 'running' | 'sending';
  /** Bytes of answers that wait in the process. */
  readonly unsentBytes: number;
}

function hasConnectionClose(head: RequestHead): boolean {
  const tokens = (getHeader(head.headers, 'connection') ?? '').toLowerCase();
  return tokens.includes('close') || (head.minorVersion === 0 && !tokens.includes('keep-alive'));
}

/** A caller's connection and the requests on it. */
export class CallerConnection implements BufferHolder {
  readonly #host: CallerHost;
  readonly #socket: Socket;
  readonly #reader: MessageReader<RequestHead>;
  readonly #buffers: BufferBudget;
  readonly #clients: ClientConnections;
  #pipeline: readonly PipelinedRequest[] = [];
  /** Whether bytes were read that may hold a request, and wait for room in the pipeline or for their turn. */
  #hasUnparsed = false;
  /** Bytes of memory that the head takes whose body is being read. */
  #headCost = 0;
  #hasCompleted = false;
  #isHandling = false;
  #nextTurn: NodeJS.Immediate | undefined;
  /** Requests of whose answers bytes wait in the process. */
  #sending: readonly RequestHead[] = [];
  #headReadAt: Instant = 0;
  /** Length of the body that is being read, if its head names one. */
  #announcedBytes = 0;
  /** When the caller no longer waits for the answer to the request whose body is being read. */
  #bodyDeadline: Instant = Infinity;
  /** When the latest bytes arrived. */
  #readAt: Instant = 0;
  #isReading = true;
  #state: 'open' | 'closing' | 'closed' = 'open';
  /** When the connection was opened or the kernel had all bytes of its latest answer. */
  #idleSince: Instant;
  /** When the first byte of an unfinished request arrived. */
  #partialSince: Instant | undefined;
  /** The bytes that waited to be sent at the latest check, and since when there are as many. */
  #stall: { readonly unsentBytes: number; readonly since: Instant } | undefined;

  constructor(
    host: CallerHost,
    socket: Socket,
    limits: MessageLimits,
    buffers: BufferBudget,
    clients: ClientConnections = processClients,
  ) {
    this.#host = host;
    this.#clients = clients;
    this.#buffers = buffers;
    this.#socket = socket;
    this.#reader = new MessageReader(requestGrammar, limits);
    this.#idleSince = host.now();
    this.#readAt = this.#idleSince;
    clients.add(this);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.#read(chunk);
    });
    socket.on('end', () => {
      this.#handleEnd();
    });
    socket.on('error', () => {
      this.close();
    });
    socket.on('close', () => {
      this.close();
    });
  }

  /** Whether no request is being served. */
  get isIdle(): boolean {
    return this.#pipeline.length === 0 && !this.#hasUnparsed;
  }

  /** What decides whether the connection is closed when the process has too many. */
  get clientState(): ConnectionState {
    return {
      isServing: this.running > 0 && !this.#isUnsent,
      hasCompleted: this.#hasCompleted,
      activeAt: this.#readAt,
    };
  }

  /** Whether the caller doesn't take its answers, so that no more requests of it are read. */
  get #isUnsent(): boolean {
    return this.#socket.writableLength >= this.#clients.limits.maxUnsentBytes;
  }

  /** What the connection is doing, for a stop. */
  get phase(): ConnectionPhase {
    if (this.#state !== 'open') return this.#socket.writableLength > 0 ? 'sending' : 'ending';
    if (!this.isIdle) return 'serving';
    if (this.#socket.writableLength > 0) return 'sending';
    return this.#reader.hasPartialMessage ? 'reading' : 'unused';
  }

  /** Number of requests that are being served. */
  get running(): number {
    return this.#pipeline.filter(({ served }) => served !== undefined).length;
  }

  /** Returns the requests that a close at this instant would cut off. */
  listUnfinished(): readonly UnfinishedRequest[] {
    const unsentBytes = this.#socket.writableLength;
    return [
      ...this.#sending.map((head) => ({ head, cause: 'sending' as const, unsentBytes })),
      ...this.#pipeline
        .filter(({ isStarted }) => isStarted)
        .map(({ request }) => ({ head: request.head, cause: 'running' as const, unsentBytes })),
    ];
  }

  /** Refuses a request whose body stops short; its caller may still read the answer. */
  #handleEnd(): void {
    if (this.#state !== 'open') return;
    if (this.#isReading && this.#reader.isInBody) this.#refuseShortBody();
    else this.close();
  }

  #refuseShortBody(): void {
    const reason = 'the body did not arrive in full';
    this.#refuseInput(this.#host.renderFault({ status: 408, reason }));
    this.#updateBuffers();
  }

  /**
   * Closes the connection if it exceeded the idle timeout or the timeout for a request head, and refuses a request whose
   * body stopped arriving, or arrives when its caller no longer waits.
   */
  checkTimeouts(now: Instant, headTimeout: Duration, idleTimeout: Duration): void {
    const isBodyLate = now > Math.min(this.#bodyDeadline, this.#readAt + idleTimeout);
    if (this.#isReading && this.#reader.isInBody && isBodyLate) {
      this.#refuseShortBody();
      return;
    }
    const isHeadLate =
      this.phase === 'reading' &&
      !this.#reader.isInBody &&
      now - (this.#partialSince ?? now) > headTimeout;
    const isUnusedTooLong = this.phase === 'unused' && now - this.#idleSince > idleTimeout;
    const isStalled = this.#isStalled(now);
    if (isStalled) this.#clients.recordClosed('stalled');
    if (isHeadLate || isUnusedTooLong || isStalled) this.close();
    // Bytes that the paused socket took in after the latest answer are counted here.
    else if (this.#hasUnparsed) this.#updateBuffers();
  }

  /** Whether the caller has taken no byte of what waits to be sent for too long. */
  #isStalled(now: Instant): boolean {
    const isSending = this.phase === 'sending' || this.#isUnsent;
    const unsentBytes = isSending ? this.#socket.writableLength : 0;
    if (unsentBytes === 0) this.#stall = undefined;
    else if (this.#stall?.unsentBytes !== unsentBytes) this.#stall = { unsentBytes, since: now };
    return this.#stall !== undefined && now - this.#stall.since > MAX_STALL_TIME;
  }

  /**
   * Closes the connection at once and cancels its requests. A request that crosses the close stays unread and resets
   * the connection, which tells the caller that it was not run.
   */
  close(): void {
    if (this.#state === 'closed') return;
    this.#dropRequests();
    if (this.#nextTurn !== undefined) clearImmediate(this.#nextTurn);
    this.#state = 'closed';
    this.#socket.destroy();
    this.#buffers.remove(this);
    this.#clients.remove(this);
    this.#host.onClose(this);
  }

  #read(chunk: Buffer): void {
    if (!this.#isReading) return;
    const now = this.#host.now();
    this.#partialSince ??= now;
    this.#readAt = now;
    this.#reader.push(chunk);
    this.#hasUnparsed = true;
    this.#advance();
    this.#updateBuffers();
  }

  handleBufferLimit(): void {
    if (!this.#isReading) return;
    this.#clients.recordClosed('bytes');
    const reason = 'too many bytes of incomplete requests are held';
    this.#refuseInput(this.#host.renderFault({ status: 413, reason }));
  }

  /** Counts what is read, what is served and what is not flushed yet. */
  #updateBuffers(): void {
    const read = this.#isReading
      ? this.#reader.heldBytes + this.#headCost + this.#socket.readableLength
      : 0;
    const requests = this.#pipeline.reduce(
      (sum, { request, headCost }) => sum + request.body.length + headCost,
      0,
    );
    const answers = this.#pipeline.reduce((sum, { answer }) => sum + (answer?.body.length ?? 0), 0);
    this.#buffers.update(this, {
      requests: requests + (this.#isReading ? Math.max(read, this.#announcedBytes) : 0),
      answers: answers + (this.#socket.destroyed ? 0 : this.#socket.writableLength),
      unbounded: this.#announcedBytes > 0 ? 0 : read,
    });
  }

  /** Gives the answer after those to all earlier requests, and reads no further. */
  #refuseInput(answer: CallerAnswer): void {
    const arrivedAt = this.#host.now();
    this.#isReading = false;
    this.#dropInput();
    this.#addToPipeline({
      request: { head: PLACEHOLDER_HEAD, body: EMPTY_BODY, hasBody: false, arrivedAt },
      isIdempotent: true,
      isLast: true,
      headCost: 0,
      served: undefined,
      isStarted: true,
      answer,
    });
  }

  #handleEvent(event: ReaderEvent<RequestHead>, now: Instant): void {
    if (!this.#isReading) return;
    switch (event.kind) {
      case 'head':
        this.#headReadAt = now;
        this.#bodyDeadline = now + (this.#host.getTimeLimit(event.head) ?? Infinity);
        this.#announcedBytes = event.framing.kind === 'length' ? event.framing.bytes : 0;
        this.#headCost = computeHeadCost(event.head);
        if (!this.#buffers.admitRequest(this.#announcedBytes + this.#headCost)) {
          this.#clients.recordClosed('bytes');
          this.#refuseInput(this.#host.renderNoRoom(event.head));
          return;
        }
        if (getHeader(event.head.headers, 'expect')?.toLowerCase() === '100-continue') {
          this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n');
        }
        return;
      case 'message':
        this.#announcedBytes = 0;
        this.#partialSince = this.#reader.hasPartialMessage ? this.#host.now() : undefined;
        this.#addRequest({
          head: event.head,
          body: event.body,
          hasBody: event.framing.kind !== 'none',
          arrivedAt: this.#headReadAt,
          peer: this.#socket.remoteAddress,
        });
        return;
      case 'protocolError':
        this.#refuseInput(this.#host.renderFault(event));
        return;
    }
  }

  #addRequest(request: CallerRequest): void {
    const isLast = hasConnectionClose(request.head);
    const headCost = this.#headCost;
    this.#headCost = 0;
    if (isLast) {
      this.#isReading = false;
      this.#dropInput();
    }
    this.#addToPipeline({
      request,
      isIdempotent: this.#host.isIdempotent(request.head),
      isLast,
      headCost,
      served: undefined,
      isStarted: false,
      answer: undefined,
    });
  }

  #addToPipeline(pipelined: PipelinedRequest): void {
    this.#pipeline = [...this.#pipeline, pipelined];
    this.#advance();
  }

  /**
   * Starts requests, writes answers in request order and handles what was read, as far as possible now. Answers that come
   * while this runs are written by it, not by a call within the call: a caller chooses how many follow each other.
   */
  #advance(): void {
    if (this.#isHandling) return;
    this.#isHandling = true;
    try {
      this.#handleTurn();
    } finally {
      this.#isHandling = false;
    }
    if (this.#state !== 'open') return;
    if (this.#isFull || this.#hasUnparsed) this.#socket.pause();
    else if (this.#socket.isPaused()) this.#socket.resume();
  }

  /** Whether no further request is read until answers are sent. */
  get #isFull(): boolean {
    return this.#pipeline.length >= this.#clients.limits.maxPipelinedRequests || this.#isUnsent;
  }

  /** Takes the steps that are possible now, but lets others have their turn after many. */
  #handleTurn(): void {
    const { stepsPerTurn } = this.#clients.limits;
    let stepsLeft = stepsPerTurn;
    while (this.#state === 'open') {
      const steps = this.#takeStep() || this.#parseNext(stepsLeft);
      if (steps === 0) return;
      stepsLeft -= steps;
      if (stepsLeft > 0) continue;
      this.#nextTurn ??= setImmediate(() => {
        this.#nextTurn = undefined;
        this.#advance();
        this.#updateBuffers();
      });
      return;
    }
  }

  /** Parses up to the next event, if there is room in the pipeline; returns the steps that it took. */
  #parseNext(maxSteps: number): number {
    if (!this.#hasUnparsed || !this.#isReading || this.#isFull) return 0;
    const { event, steps, needsInput } = this.#reader.readNext(maxSteps);
    if (needsInput) this.#hasUnparsed = false;
    if (event !== undefined) this.#handleEvent(event, this.#readAt);
    return needsInput ? 0 : steps;
  }

  /** Starts the next request or writes the next answer; returns the steps as which it counts. */
  #takeStep(): number {
    const first = this.#pipeline[0];
    const next = this.#pipeline.find(({ isStarted }) => !isStarted);
    if (next !== undefined && this.#canStart(next)) {
      this.#startRequest(next);
      return STEPS_PER_REQUEST;
    }
    if (first?.answer === undefined) return 0;
    this.#pipeline = this.#pipeline.slice(1);
    this.#write(first, first.answer);
    return 1;
  }

  #canStart(pipelined: PipelinedRequest): boolean {
    const earlier = this.#pipeline.slice(0, this.#pipeline.indexOf(pipelined));
    if (this.#host.isStopping() && !isStartedInStop(earlier)) return false;
    return (
      earlier.length === 0 || [...earlier, pipelined].every(({ isIdempotent }) => isIdempotent)
    );
  }

  #startRequest(pipelined: PipelinedRequest): void {
    pipelined.isStarted = true;
    const served = this.#host.serve(pipelined.request, (answer) => {
      pipelined.answer = answer;
      pipelined.served = undefined;
      this.#advance();
      this.#updateBuffers();
    });
    if (pipelined.answer === undefined) pipelined.served = served;
  }

  #write(pipelined: PipelinedRequest, answer: CallerAnswer): void {
    const { status, reason, headers, body } = answer;
    const isClosing = pipelined.isLast || (this.#host.isStopping() && isLastInStop(this.#pipeline));
    const hasLength = status !== 204 && status !== 304;
    const head = renderHead(`HTTP/1.1 ${status} ${reason}`, [
      ...headers,
      ...(hasLength ? [['Content-Length', String(body.length)] as const] : []),
      ...(isClosing ? [['Connection', 'close'] as const] : []),
    ]);
    const requestHead = pipelined.request.head;
    this.#sending = [...this.#sending, requestHead];
    this.#hasCompleted = true;
    const onSent = (): void => {
      this.#sending = this.#sending.filter((unsent) => unsent !== requestHead);
      this.#idleSince = this.#host.now();
      // Requests that waited until answers were sent are read now.
      if (this.#hasUnparsed) this.#advance();
      this.#updateBuffers();
    };
    const hasBody = body.length > 0 && requestHead.method !== 'HEAD';
    this.#socket.cork();
    this.#socket.write(head, 'latin1', hasBody ? undefined : onSent);
    if (hasBody) this.#socket.write(body, onSent);
    this.#socket.uncork();
    if (isClosing) {
      this.#socket.end();
      this.#linger();
    }
  }

  /** Reads and discards further input until the caller has received all output and closed its end. */
  #linger(): void {
    this.#dropRequests();
    this.#state = 'closing';
    this.#socket.resume();
    const timer = setTimeout(() => this.#socket.destroy(), MAX_LINGER_TIME).unref();
    // Destroying the socket before all output is flushed would truncate the answer.
    this.#socket.once('finish', () => {
      clearTimeout(timer);
      setTimeout(() => this.#socket.destroy(), LINGER_TIME).unref();
    });
  }

  #dropInput(): void {
    this.#reader.discard();
    this.#hasUnparsed = false;
    this.#headCost = 0;
  }

  #dropRequests(): void {
    this.#isReading = false;
    this.#pipeline.forEach(({ served }) => served?.cancel());
    this.#pipeline = [];
    this.#dropInput();
    this.#updateBuffers();
  }
}

const EMPTY_BODY = Buffer.alloc(0);
const PLACEHOLDER_HEAD: RequestHead = { method: 'GET', target: '/', minorVersion: 1, headers: [] };
