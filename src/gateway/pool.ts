/**
 * Pool of keep-alive connections to upstreams. Invariant: a connection carries one request at a time and each request
 * id at most once, so that the id in a response names the sending that it answers; it returns to the pool only after a
 * complete response with no bytes after it. A body that ends with its connection is complete only if that ended in
 * order.
 */
import { connect, type Socket } from 'node:net';
import {
  createResponseGrammar,
  getHeader,
  MessageReader,
  renderHead,
  type HeaderList,
  type MessageLimits,
  type ReaderEvent,
  type ResponseHead,
} from '../http1/index.js';
import { isAddress, parseAddress, type Address, type Duration } from '../model/index.js';
import type { AnswerHolder, BufferBudget } from './buffers.js';
import { CarriedIds } from './carried.js';
import { isOrderlyEnd } from './streamend.js';
import type { AttemptOutcome, HeaderDialect } from './types.js';

/** Milliseconds within which a connection must open; TCP retransmits a lost SYN only after a second. */
const CONNECT_TIMEOUT: Duration = 300;
/** Idle timeout in milliseconds of connections whose upstream sends no `Keep-Alive: timeout`. */
const DEFAULT_KEEP_ALIVE: Duration = 4000;
/** Share of the upstream's idle timeout for which a connection is reused; the upstream's timer started earlier. */
const KEEP_ALIVE_SHARE = 0.7;
/** Interval at which expired idle connections are closed, in milliseconds. */
const SWEEP_INTERVAL: Duration = 1000;
/** Largest body of a response, in bytes. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const RESPONSE_LIMITS: MessageLimits = { headBytes: 64 * 1024, bodyBytes: MAX_RESPONSE_BYTES };

/** Bounds of a response to a probe, of which only the head is used. */
const PROBE_LIMITS: MessageLimits = { headBytes: 16 * 1024, bodyBytes: 64 * 1024 };
/** Bytes that may arrive for a probe in all, whatever they are. */
const MAX_PROBE_BYTES = 128 * 1024;

/** Bytes that may arrive on a connection before the response to its request, such as a late copy of another. */
const MAX_STRAY_BYTES = 2 * 1024 * 1024;

/** A request as it is sent to an upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

/** Handle of a running attempt. */
export interface Attempt {
  /** Cancels the attempt and closes its connection; `onEnd` is not called. */
  cancel(): void;
}

/** A connection to an upstream. */
interface Connection {
  readonly socket: Socket;
  readonly carried: CarriedIds;
}

interface IdleConnection extends Connection {
  readonly expiresAt: number;
}

/** Callbacks of an attempt. */
export interface AttemptListener {
  readonly onEnd: (outcome: AttemptOutcome) => void;
  /** Called when the head of the response arrives; its headers may hold a load report. */
  readonly onHead: (headers: HeaderList, status: number) => void;
}

function parseKeepAlive(headers: HeaderList): Duration {
  const match = /timeout=(\d+)/.exec(getHeader(headers, 'keep-alive') ?? '');
  return match === null ? DEFAULT_KEEP_ALIVE : Number(match[1]) * 1000 * KEEP_ALIVE_SHARE;
}

/** Counts of what happened on the connections of a {@link ConnectionPool}. */
export interface ConnectionCounts {
  /** Connections opened. */
  opened: number;
  /** Responses that don't name the request that was sent last. */
  strayResponses: number;
  /** Responses whose connection was reported as ended although it was reset. */
  resetResponses: number;
}

/** Options of an {@link Exchange}. */
interface ExchangeOptions {
  readonly request: UpstreamRequest;
  readonly isProbe: boolean;
  readonly buffers: BufferBudget;
  readonly counts: ConnectionCounts;
}

/** One request and its response on one connection. */
class Exchange implements Attempt, AnswerHolder {
  readonly #request: UpstreamRequest;
  readonly #isProbe: boolean;
  /** Whether an earlier exchange used the connection. */
  readonly #isReused: boolean;
  readonly #buffers: BufferBudget;
  readonly #counts: ConnectionCounts;
  readonly #dialect: HeaderDialect;
  readonly #listener: AttemptListener;
  readonly #release: (connection: Connection, idleTime: Duration) => void;
  readonly #reader: MessageReader<ResponseHead>;
  readonly #connection: Connection;
  readonly #socket: Socket;
  #isSent = false;
  #hasHead = false;
  #receivedBytes = 0;
  /** Length of the response's body, if its head names one and the body may be read. */
  #announcedBytes = 0;
  #isAdmitted = false;
  #isOver = false;
  #connectTimer: NodeJS.Timeout | undefined;

  constructor(
    connection: Connection,
    { request, isProbe, buffers, counts }: ExchangeOptions,
    dialect: HeaderDialect,
    listener: AttemptListener,
    release: (connection: Connection, idleTime: Duration) => void,
  ) {
    const { socket, carried } = connection;
    this.#connection = connection;
    this.#socket = socket;
    this.#request = request;
    this.#isProbe = isProbe;
    this.#isReused = !carried.isEmpty;
    carried.add(request.id);
    this.#buffers = buffers;
    this.#counts = counts;
    this.#dialect = dialect;
    this.#listener = listener;
    this.#release = release;
    const limits = isProbe ? PROBE_LIMITS : RESPONSE_LIMITS;
    this.#reader = new MessageReader(createResponseGrammar(request.method), limits);
    socket.removeAllListeners();
    socket.on('data', (chunk: Buffer) => {
      this.#read(chunk);
    });
    socket.on('end', () => {
      this.#handleEnd();
    });
    socket.on('error', (error) => {
      this.#fail(error.message, true);
    });
    socket.on('close', () => {
      this.#fail('the connection was closed', true);
    });
    if (this.#isReused) {
      this.#send();
      return;
    }
    this.#connectTimer = setTimeout(() => {
      this.#fail(`no connection within ${CONNECT_TIMEOUT} ms`);
    }, CONNECT_TIMEOUT);
    socket.once('connect', () => {
      clearTimeout(this.#connectTimer);
      this.#send();
    });
  }

  cancel(): void {
    this.#isOver = true;
    this.#buffers.remove(this);
    clearTimeout(this.#connectTimer);
    this.#socket.destroy();
  }

  handleRoom(): void {
    if (this.#isOver) return;
    this.#isAdmitted = true;
    this.#updateBuffers();
    this.#socket.resume();
  }

  /** Completes a body that ends with its connection, if the upstream closed that in order. */
  #handleEnd(): void {
    const isOrderly = isOrderlyEnd(this.#socket);
    if (isOrderly) this.#handleEvents(this.#reader.finish());
    else if (this.#reader.isInBody) this.#counts.resetResponses += 1;
    this.#fail(`the upstream ${isOrderly ? 'closed' : 'reset'} the connection`, true);
  }

  #updateBuffers(): void {
    const read = this.#reader.heldBytes;
    const announced = this.#isAdmitted ? this.#announcedBytes : 0;
    const answers = Math.max(read, announced);
    this.#buffers.update(this, {
      ...{ requests: 0, answers, unbounded: this.#announcedBytes > 0 ? 0 : read },
    });
  }

  /** Stops reading the body until there is room for it. */
  #waitForRoom(): void {
    if (this.#announcedBytes === 0 || this.#isAdmitted) return;
    this.#isAdmitted = this.#buffers.admitAnswer(this, this.#announcedBytes);
    if (!this.#isAdmitted) this.#socket.pause();
  }

  handleBufferLimit(): void {
    this.#fail(
      'the gateway holds too many bytes of incomplete responses, most of them of this one',
    );
  }

  #read(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    this.#handleEvents(this.#reader.addChunk(chunk));
    if (this.#isOver) return;
    if (!this.#hasHead && this.#receivedBytes > MAX_STRAY_BYTES) {
      this.#fail(`over ${MAX_STRAY_BYTES} bytes came before the response`);
      return;
    }
    if (this.#isProbe && this.#receivedBytes > MAX_PROBE_BYTES) {
      this.#fail(`over ${MAX_PROBE_BYTES} bytes came for a probe`);
      return;
    }
    this.#waitForRoom();
    this.#updateBuffers();
  }

  #send(): void {
    if (this.#isOver) return;
    this.#isSent = true;
    const { method, target, headers, body } = this.#request;
    const head = renderHead(`${method} ${target} HTTP/1.1`, headers);
    if (body.length === 0) {
      this.#socket.write(head, 'latin1');
      return;
    }
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    this.#socket.write(body);
    this.#socket.uncork();
  }

  #settle(outcome: AttemptOutcome): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#buffers.remove(this);
    clearTimeout(this.#connectTimer);
    this.#listener.onEnd(outcome);
  }

  #fail(reason: string, isDisconnected = false): void {
    if (this.#isOver) return;
    this.#socket.destroy();
    this.#settle(
      this.#isSent ? { kind: 'lost', reason, isDisconnected } : { kind: 'unreachable', reason },
    );
  }

  #handleEvents(events: readonly ReaderEvent<ResponseHead>[]): void {
    events.forEach((event) => {
      if (this.#isOver) return;
      switch (event.kind) {
        case 'head':
          if (!this.#isForThisRequest(event.head)) return;
          this.#hasHead = true;
          this.#announcedBytes = event.framing.kind === 'length' ? event.framing.bytes : 0;
          this.#listener.onHead(event.head.headers, event.head.status);
          return;
        case 'message':
          this.#handleMessage(event);
          return;
        case 'protocolError':
          this.#fail(`the upstream sent no response: ${event.reason}`);
          return;
      }
    });
  }

  /**
   * Returns whether a response belongs to this request. An upstream may answer a request twice; the second
   * answer then arrives before the answer to the next request on the connection. It names another request, as no
   * connection carries an id twice. A refusal that names no request may be such a second answer too, unless this is the
   * first request on the connection.
   */
  #isForThisRequest(head: ResponseHead): boolean {
    const id = getHeader(head.headers, this.#dialect.requestId);
    if (id === undefined && this.#isProbe) return true;
    const isRejection = getHeader(head.headers, this.#dialect.notRun) !== undefined;
    if (id !== undefined) return id === this.#request.id;
    return !this.#isReused && (isRejection || head.status === 421);
  }

  #handleMessage({
    head,
    body,
    framing,
  }: Extract<ReaderEvent<ResponseHead>, { kind: 'message' }>): void {
    if (!this.#isForThisRequest(head)) {
      this.#counts.strayResponses += 1;
      if (getHeader(head.headers, this.#dialect.requestId) === undefined) {
        this.#fail('the upstream sent a response that names no request');
      }
      return;
    }
    const { status, reason, headers } = head;
    const isClosing = (getHeader(headers, 'connection') ?? '').toLowerCase().includes('close');
    const isNamed = this.#isProbe || getHeader(headers, this.#dialect.requestId) !== undefined;
    const isReusable =
      isNamed && head.minorVersion >= 1 && !isClosing && framing.kind !== 'untilClose';
    if (isReusable && !this.#reader.hasPartialMessage && !this.#connection.carried.isFull)
      this.#release(this.#connection, parseKeepAlive(headers));
    else this.#socket.destroy();
    const isRejection = getHeader(headers, this.#dialect.notRun) !== undefined;
    if (isRejection || status === 421) {
      this.#settle({ kind: 'notRun', isMisdirected: status === 421 });
      return;
    }
    const isUnframed = framing.kind === 'untilClose';
    this.#settle({ kind: 'answered', answer: { status, reason, headers, body, isUnframed } });
  }
}

/** Ends an attempt whose address can't be connected to, after the attempt was returned. */
function refuseAddress(address: Address, listener: AttemptListener): Attempt {
  const timer = setImmediate(() => {
    listener.onEnd({ kind: 'unreachable', reason: `${address} is not an IPv4 address and port` });
  });
  return {
    cancel: () => {
      clearImmediate(timer);
    },
  };
}

/** The connections of one gateway to all upstreams. */
export class ConnectionPool {
  readonly #dialect: HeaderDialect;
  readonly #buffers: BufferBudget;
  readonly #idleConnections = new Map<Address, readonly IdleConnection[]>();
  readonly #sweepTimer: NodeJS.Timeout;
  readonly counts: ConnectionCounts = { opened: 0, strayResponses: 0, resetResponses: 0 };

  constructor(dialect: HeaderDialect, buffers: BufferBudget) {
    this.#dialect = dialect;
    this.#buffers = buffers;
    this.#sweepTimer = setInterval(() => {
      this.#sweep();
    }, SWEEP_INTERVAL);
  }

  /**
   * Sends a request to the address on an idle connection that has not carried its id, or on a new one.
   *
   * @example
   * const attempt = pool.send('10.0.4.7:8080', request, { onEnd, onHead });
   * attempt.cancel();
   */
  send(address: Address, request: UpstreamRequest, listener: AttemptListener): Attempt {
    return this.#start(address, request, listener, false);
  }

  /** Sends a probe to the upstream's health path; its response need not echo the request id. */
  sendProbe(address: Address, request: UpstreamRequest, listener: AttemptListener): Attempt {
    return this.#start(address, request, listener, true);
  }

  #start(
    address: Address,
    request: UpstreamRequest,
    listener: AttemptListener,
    isProbe: boolean,
  ): Attempt {
    if (!isAddress(address)) return refuseAddress(address, listener);
    return new Exchange(
      this.#takeIdle(address, request.id) ?? this.#open(address),
      { request, isProbe, buffers: this.#buffers, counts: this.counts },
      this.#dialect,
      listener,
      (released, idleTime) => {
        this.#addIdle(address, released, idleTime);
      },
    );
  }

  /** Whether a request to the address can reuse an idle connection. */
  hasIdleConnection(address: Address): boolean {
    return this.getIdleTime(address) > 0;
  }

  /** Returns the milliseconds for which a request to the address can reuse an idle connection. */
  getIdleTime(address: Address): Duration {
    const last = this.#idleConnections.get(address)?.at(-1);
    if (!last?.socket.writable) return 0;
    return Math.max(0, last.expiresAt - performance.now());
  }

  /** Closes the idle connections to an address that no instance uses any more. */
  dropAddress(address: Address): void {
    this.#idleConnections.get(address)?.forEach(({ socket }) => socket.destroy());
    this.#idleConnections.delete(address);
  }

  close(): void {
    clearInterval(this.#sweepTimer);
    [...this.#idleConnections.keys()].forEach((address) => {
      this.dropAddress(address);
    });
  }

  #open(address: Address): Connection {
    this.counts.opened += 1;
    // If connections are idle, all of them have carried the id: the new one takes the place of the oldest.
    const oldest = this.#idleConnections.get(address)?.[0];
    if (oldest !== undefined) this.#dropIdle(address, oldest);
    const socket = connect({ ...parseAddress(address), noDelay: true });
    return { socket, carried: new CarriedIds() };
  }

  /**
   * Takes the most recently used connection that has not carried the id, so that surplus connections reach their idle
   * timeout.
   */
  #takeIdle(address: Address, id: string): Connection | undefined {
    const connections = this.#idleConnections.get(address) ?? [];
    const taken = connections.findLast(({ carried }) => !carried.has(id));
    if (taken === undefined) return undefined;
    this.#removeIdle(address, taken);
    if (taken.expiresAt > performance.now() && taken.socket.writable) return taken;
    taken.socket.destroy();
    return this.#takeIdle(address, id);
  }

  #removeIdle(address: Address, removed: IdleConnection): void {
    const kept = this.#idleConnections.get(address)?.filter((idle) => idle !== removed);
    if (kept !== undefined) this.#idleConnections.set(address, kept);
  }

  #dropIdle(address: Address, dropped: IdleConnection): void {
    this.#removeIdle(address, dropped);
    dropped.socket.destroy();
  }

  #addIdle(address: Address, connection: Connection, idleTime: Duration): void {
    const { socket } = connection;
    const idle: IdleConnection = { ...connection, expiresAt: performance.now() + idleTime };
    socket.removeAllListeners();
    const drop = (): void => {
      this.#dropIdle(address, idle);
    };
    // Data received on an idle connection belongs to no request.
    socket.on('data', drop);
    socket.on('end', drop);
    socket.on('error', drop);
    socket.on('close', drop);
    this.#idleConnections.set(address, [...(this.#idleConnections.get(address) ?? []), idle]);
  }

  #sweep(): void {
    const now = performance.now();
    this.#idleConnections.forEach((connections, address) => {
      const expired = connections.filter(({ expiresAt }) => expiresAt <= now);
      if (expired.length > 0)
        this.#idleConnections.set(
          address,
          connections.filter(({ expiresAt }) => expiresAt > now),
        );
      expired.forEach(({ socket }) => socket.destroy());
    });
  }
}
