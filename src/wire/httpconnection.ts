/**
 * One connection on which small HTTP calls arrive. Invariant: calls are handled one after the other, and nothing is
 * parsed while one is handled or while replies wait to be sent, so that a client that pipelines calls holds at most what
 * its paused socket has read.
 */
import type { Socket } from 'node:net';
import type { ClientConnections, ConnectionState } from '../admission/index.js';
import {
  getHeader,
  MessageReader,
  renderHead,
  requestGrammar,
  type Framing,
  type MessageLimits,
  type ProtocolError,
  type RequestHead,
} from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';

/** A call whose head was read. */
export interface HttpCall {
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** Returns the value of a header field; the name is in lower case. */
  readonly getHeader: (name: string) => string | undefined;
}

/** A reply with its complete body. */
export interface HttpReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Bounds in bytes of the bodies that a listener holds. */
export interface BodyLimits {
  /** Largest body of a call; others get 413. */
  readonly perCall: number;
  /** Bytes of all calls that are being received; beyond it, the call that holds most gets 503. */
  readonly all: number;
}

/** What an {@link HttpConnection} needs of its listener. */
export interface HttpHost {
  readonly clients: ClientConnections;
  /** The bodies of the listener's calls; undefined if it reads none. */
  readonly bodies: HeldBodies | undefined;
  readonly limits: MessageLimits;
  readonly handle: (call: HttpCall, body: Buffer) => HttpReply | Promise<HttpReply>;
  readonly onProblem: (target: string, error: unknown) => void;
  readonly onClose: (connection: HttpConnection) => void;
}

/** Milliseconds for which input is read and discarded after the last reply, so that its receiver reads the reply. */
const DISCARD_TIME: Duration = 1000;
/** Milliseconds within which the head of a call must have arrived. */
const HEAD_TIMEOUT: Duration = 10_000;
/** Milliseconds within which a call must have arrived. */
const REQUEST_TIMEOUT: Duration = 30_000;
/** Milliseconds after which a connection without a call is closed; some intervals between announcements. */
const IDLE_TIMEOUT: Duration = 15_000;
/** Milliseconds for which a client may leave its replies unread. */
const STALL_TIMEOUT: Duration = 10_000;
const NO_BODY = Buffer.alloc(0);

const reasons: Readonly<Record<number, string>> = {
  200: 'OK',
  204: 'No Content',
  307: 'Temporary Redirect',
  400: 'Bad Request',
  404: 'Not Found',
  412: 'Precondition Failed',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

/** The bytes of the bodies that a listener holds. */
export class HeldBodies {
  readonly #limit: number;
  readonly #clients: ClientConnections;
  readonly #holders = new Map<HttpConnection, number>();
  #total = 0;

  constructor(limit: number, clients: ClientConnections) {
    this.#limit = limit;
    this.#clients = clients;
  }

  /** Sets the bytes of a connection; beyond the limit, the largest incomplete body is refused. */
  update(holder: HttpConnection, bytes: number): void {
    this.#total += bytes - (this.#holders.get(holder) ?? 0);
    if (bytes === 0) this.#holders.delete(holder);
    else this.#holders.set(holder, bytes);
    if (this.#total > this.#limit) this.#refuseLargest();
  }

  #refuseLargest(): void {
    const reading = [...this.#holders].filter(([holder]) => holder.isReadingBody);
    const [first, ...rest] = reading;
    if (first === undefined) return;
    const [largest] = rest.reduce((most, next) => (next[1] > most[1] ? next : most), first);
    this.#clients.recordClosed('bytes');
    largest.refuse(503);
  }
}

function hasConnectionClose({ headers, minorVersion }: RequestHead): boolean {
  const tokens = (getHeader(headers, 'connection') ?? '').toLowerCase();
  return tokens.includes('close') || (minorVersion === 0 && !tokens.includes('keep-alive'));
}

/** A connection of a client. */
export class HttpConnection {
  readonly #socket: Socket;
  readonly #host: HttpHost;
  readonly #reader: MessageReader<RequestHead>;
  #state: 'open' | 'closing' | 'closed' = 'open';
  /** Whether a call is being handled. */
  #isHandling = false;
  /** Whether the client has closed its end. */
  #hasEnded = false;
  #hasCompleted = false;
  #nextTurn: NodeJS.Immediate | undefined;
  #activeAt: Instant = performance.now();
  /** When the first byte of a call arrived that is not complete. */
  #partialSince: Instant | undefined;
  /** The bytes of replies that waited at the latest check, and since when there are as many. */
  #stall: { readonly unsentBytes: number; readonly since: Instant } | undefined;

  constructor(socket: Socket, host: HttpHost) {
    this.#socket = socket;
    this.#host = host;
    this.#reader = new MessageReader(requestGrammar, host.limits);
    host.clients.add(this);
    socket.on('data', (chunk: Buffer) => {
      this.#read(chunk);
    });
    socket.on('drain', () => {
      this.#advance();
    });
    socket.on('end', () => {
      this.#hasEnded = true;
      if (!this.#isHandling && this.#state === 'open') this.close();
    });
    socket.on('error', () => {
      this.close();
    });
    socket.on('close', () => {
      this.close();
    });
  }

  /** What decides whether the connection is closed when the process has too many. */
  get clientState(): ConnectionState {
    return {
      isServing: this.#isHandling,
      hasCompleted: this.#hasCompleted,
      activeAt: this.#activeAt,
    };
  }

  /** Whether a body is being read, so that its call has not run. */
  get isReadingBody(): boolean {
    return this.#state === 'open' && !this.#isHandling && this.#reader.isInBody;
  }

  /** Closes the connection at once. */
  close(): void {
    if (this.#state === 'closed') return;
    this.#state = 'closed';
    if (this.#nextTurn !== undefined) clearImmediate(this.#nextTurn);
    this.#reader.discard();
    this.#host.bodies?.update(this, 0);
    this.#host.clients.remove(this);
    this.#host.onClose(this);
    this.#socket.destroy();
  }

  /** Closes the connection if a call or the receipt of a reply takes too long, or if no call comes. */
  checkTimeouts(now: Instant): void {
    const unsentBytes = this.#socket.writableLength;
    if (unsentBytes === 0) this.#stall = undefined;
    else if (this.#stall?.unsentBytes !== unsentBytes) this.#stall = { unsentBytes, since: now };
    const isStalled = this.#stall !== undefined && now - this.#stall.since > STALL_TIMEOUT;
    if (isStalled) this.#host.clients.recordClosed('stalled');
    if (isStalled || this.#isInputLate(now)) this.close();
  }

  #isInputLate(now: Instant): boolean {
    if (this.#state !== 'open' || this.#isHandling || this.#nextTurn !== undefined) return false;
    if (this.#partialSince === undefined) return now - this.#activeAt > IDLE_TIMEOUT;
    const limit = this.#reader.isInBody ? REQUEST_TIMEOUT : HEAD_TIMEOUT;
    return now - this.#partialSince > limit;
  }

  /** Refuses the call that is being read, which has not run, and reads no further. */
  refuse(status: ProtocolError['status'] | 503): void {
    this.#reader.discard();
    this.#host.bodies?.update(this, 0);
    this.#send({ status }, true, false);
  }

  #read(chunk: Buffer): void {
    if (this.#state !== 'open') return;
    this.#activeAt = performance.now();
    this.#partialSince ??= this.#activeAt;
    this.#reader.push(chunk);
    this.#advance();
  }

  /** Parses what was read, as far as this connection's turn allows and no call is being handled. */
  #advance(): void {
    const { limits } = this.#host.clients;
    const isBusy = this.#isHandling || this.#socket.writableLength >= limits.maxUnsentBytes;
    if (this.#state !== 'open' || this.#nextTurn !== undefined) return;
    if (isBusy) {
      this.#socket.pause();
      return;
    }
    const needsInput = this.#parse(limits.stepsPerTurn);
    if (!this.#isHandling) {
      this.#host.bodies?.update(this, this.isReadingBody ? this.#reader.heldBytes : 0);
    }
    if (needsInput) this.#socket.resume();
    else if (!this.#isHandling) this.#scheduleTurn();
  }

  /** Lets others have their turn before the rest of what was read is parsed. */
  #scheduleTurn(): void {
    if (this.#state !== 'open') return;
    this.#socket.pause();
    this.#nextTurn ??= setImmediate(() => {
      this.#nextTurn = undefined;
      this.#advance();
    });
  }

  /** Parses until a call begins, its steps are used up, or more input is needed; returns whether it is. */
  #parse(stepsLeft: number): boolean {
    const { event, steps, needsInput } = this.#reader.readNext(stepsLeft);
    if (needsInput) return true;
    switch (event?.kind) {
      case undefined:
        return false;
      case 'protocolError':
        this.refuse(event.status);
        return false;
      case 'message':
        this.#begin(event.head, event.body, hasConnectionClose(event.head));
        return false;
      case 'head':
        this.#handleHead(event.head, event.framing);
        if (this.#isHandling || this.#state !== 'open' || steps >= stepsLeft) return false;
        return this.#parse(stepsLeft - steps);
    }
  }

  #handleHead(head: RequestHead, framing: Framing): void {
    const hasBody = framing.kind === 'length' ? framing.bytes > 0 : framing.kind !== 'none';
    if (this.#host.bodies === undefined && hasBody) {
      this.#begin(head, NO_BODY, true);
      return;
    }
    if (getHeader(head.headers, 'expect')?.toLowerCase() === '100-continue') {
      this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    }
  }

  /** Handles a call; after the last one of the connection nothing more is read. */
  #begin(head: RequestHead, body: Buffer, isLast: boolean): void {
    this.#isHandling = true;
    this.#partialSince = undefined;
    this.#socket.pause();
    if (isLast) this.#reader.discard();
    this.#host.bodies?.update(this, body.length);
    void this.#handle(head, body, isLast);
  }

  async #handle(head: RequestHead, body: Buffer, isLast: boolean): Promise<void> {
    const call: HttpCall = {
      method: head.method,
      url: head.target,
      getHeader: (name) => getHeader(head.headers, name),
    };
    const reply = await this.#run(call, body);
    this.#host.bodies?.update(this, 0);
    this.#isHandling = false;
    this.#hasCompleted = true;
    this.#send(reply, isLast || this.#hasEnded, head.method === 'HEAD');
    if (this.#reader.hasPartialMessage) {
      this.#partialSince = performance.now();
      this.#scheduleTurn();
    } else this.#advance();
  }

  async #run(call: HttpCall, body: Buffer): Promise<HttpReply> {
    try {
      return await this.#host.handle(call, body);
    } catch (error) {
      this.#host.onProblem(call.url, error);
      return { status: 500 };
    }
  }

  #send({ status, headers = {}, body = '' }: HttpReply, isLast: boolean, isHead: boolean): void {
    if (this.#state !== 'open') return;
    const head = renderHead(`HTTP/1.1 ${status} ${reasons[status] ?? ''}`, [
      ...Object.entries(headers),
      ...(status === 204 ? [] : [['Content-Length', String(Buffer.byteLength(body))] as const]),
      ...(isLast ? [['Connection', 'close'] as const] : []),
    ]);
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    if (body !== '' && !isHead) this.#socket.write(body);
    this.#socket.uncork();
    if (isLast) this.#linger();
  }

  /** Discards further input for a while: closing a socket with unread input would discard the reply. */
  #linger(): void {
    this.#state = 'closing';
    this.#socket.end();
    this.#socket.resume();
    this.#socket.once('finish', () => {
      setTimeout(() => {
        this.close();
      }, DISCARD_TIME).unref();
    });
    this.#socket.once('end', () => {
      this.#socket.destroySoon();
    });
  }
}
