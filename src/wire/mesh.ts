/**
 * Sends messages between the processes of one site over TCP. Invariant: a message is delivered at most once,
 * only to the handler of its channel, and only from a peer that has proved that it knows the site secret.
 * Delivery is not guaranteed; protocols on top retry.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { Packr } from 'msgpackr';
import { isAddress, parseAddress, type Address } from '../model/index.js';
import { processClients } from '../admission/index.js';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from './frame.js';

/** Options of {@link createMesh}. */
export interface MeshOptions {
  /** The address that this process listens on and by which peers know it. */
  readonly address: Address;
  /** The secret shared by all processes of the site, with which they authenticate. */
  readonly secret: string;
  /** Called on connection errors, which are reported here rather than thrown to the sender. */
  readonly onProblem?: (peer: Address, problem: string) => void;
}

/** Handles one message; `from` is the authenticated address of the peer. */
export type MessageHandler = (from: Address, message: unknown) => void;

/** Messages and bytes sent and received since the mesh was created. */
export interface MeshTraffic {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
}

/** The endpoint of one process in the mesh. */
export interface Mesh {
  /** The address by which peers know this process. */
  readonly address: Address;
  /** Sends a message to a peer; drops it if the peer is unreachable or its send buffer is full. */
  send(to: Address, channel: string, message: unknown): void;
  /** Registers the handler of a channel, which replaces an earlier one. */
  handle(channel: string, handler: MessageHandler): void;
  /** The traffic since the mesh was created. */
  readonly traffic: MeshTraffic;
  /** Closes every connection and the listener. */
  close(): Promise<void>;
}

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });
/** Size of the random challenge that a connecting peer must answer with an HMAC keyed by the site secret. */
const NONCE_BYTES = 16;
/** Delay before reconnecting to a peer whose connection closed, in milliseconds. */
const RECONNECT_DELAY = 200;
/** Bytes buffered on one connection above which further messages to it are dropped. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Bytes buffered on all connections above which messages to those that receive slowly are dropped. */
const MAX_TOTAL_BUFFERED_BYTES = 24 * 1024 * 1024;
/** Bytes buffered on a connection that receives at its usual pace. */
const USUAL_BUFFERED_BYTES = 512 * 1024;

/** Interval of the periodic check of connections, in milliseconds. */
const CHECK_INTERVAL = 100;
/** Minimum milliseconds between two keepalives on a connection. */
const KEEPALIVE_INTERVAL = 200;
/**
 * Time for which a peer may leave a keepalive unanswered, or a connection unopened, in milliseconds. The first packet to
 * a VM that is still starting is lost, and TCP sends it again only after a second. A connection can die without a reset; only this timeout detects it. Shorter than the time after which an entry
 * or a control member gives the peer up, so that a silent connection doesn't count as a failed peer.
 */
const KEEPALIVE_TIMEOUT = 400;
/**
 * Milliseconds after which a connection without messages is closed. Whether an idle connection is still alive shows
 * only when it is used, which is when the delay of finding out hurts.
 */
const IDLE_TIMEOUT = 2000;
/**
 * Milliseconds between two checks from which this process counts as having stood still: answers may wait in its sockets,
 * and no peer is judged before they are read.
 */
const STANDSTILL_TIME = 250;
/** Milliseconds within which a peer that connected must have authenticated; it gives up itself after 400 ms. */
const AUTHENTICATION_TIMEOUT = 5000;
/** Largest frame of a peer that has not authenticated, in bytes; it holds an address and an HMAC. */
const MAX_PROOF_BYTES = 1024;
/** An empty frame, which the peer answers with another empty frame. */
const KEEPALIVE_FRAME = encodeFrame(Buffer.alloc(0));

/** A connection that this process opened to a peer. */
interface OutboundConnection {
  readonly socket: Socket;
  /** Frames to send once the connection is authenticated. */
  readonly queuedFrames: Buffer[];
  /** Whether this process has answered the challenge of the peer. */
  ready: boolean;
  /** Whether frames were sent since the last keepalive. */
  hasUnconfirmedFrames: boolean;
  /** Whether a keepalive is unanswered. */
  awaitsKeepalive: boolean;
  /** When the peer last sent a frame, or the connection attempt began. */
  lastReceivedAt: number;
  /** When this process last sent a message. */
  lastSentAt: number;
  keepaliveSentAt: number;
}

/** Returns the bytes that wait to be sent on a connection. */
function countBufferedBytes({ socket, queuedFrames }: OutboundConnection): number {
  return queuedFrames.reduce((sum, frame) => sum + frame.length, socket.writableLength);
}

function computeProof(secret: string, nonce: Buffer, from: Address): Buffer {
  return createHmac('sha256', secret).update(nonce).update(from).digest();
}

class TcpMesh implements Mesh {
  readonly #options: MeshOptions;
  readonly #handlers = new Map<string, MessageHandler>();
  readonly #outbound = new Map<Address, OutboundConnection>();
  readonly #reconnectAfter = new Map<Address, number>();
  readonly #inbound = new Set<Socket>();
  readonly #server: Server;
  readonly #timer: NodeJS.Timeout;
  #closed = false;
  #checkedAt = performance.now();
  #traffic: MeshTraffic = {
    messagesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    bytesReceived: 0,
  };

  private constructor(options: MeshOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
    this.#timer = setInterval(() => {
      this.#checkConnections();
    }, CHECK_INTERVAL);
  }

  static async create(options: MeshOptions): Promise<TcpMesh> {
    const mesh = new TcpMesh(options);
    const { host, port } = parseAddress(options.address);
    await new Promise<void>((resolve, reject) => {
      mesh.#server.once('error', reject);
      mesh.#server.listen({ host, port }, resolve);
    });
    return mesh;
  }

  get address(): Address {
    return this.#options.address;
  }

  get traffic(): MeshTraffic {
    return this.#traffic;
  }

  get #bufferedBytes(): number {
    return [...this.#outbound.values()].reduce(
      (sum, connection) => sum + countBufferedBytes(connection),
      0,
    );
  }

  handle(channel: string, handler: MessageHandler): void {
    this.#handlers.set(channel, handler);
  }

  send(to: Address, channel: string, message: unknown): void {
    if (this.#closed) return;
    const frame = encodeFrame(packr.pack([channel, message]));
    if (to === this.#options.address) {
      setImmediate(() => {
        this.#deliver(to, frame.subarray(4));
      });
      return;
    }
    const connection = this.#outbound.get(to) ?? this.#dial(to);
    if (connection === undefined) return;
    if (this.#isFull(connection)) return;
    this.#traffic = {
      ...this.#traffic,
      messagesSent: this.#traffic.messagesSent + 1,
      bytesSent: this.#traffic.bytesSent + frame.length,
    };
    connection.hasUnconfirmedFrames = true;
    connection.lastSentAt = performance.now();
    if (connection.ready) connection.socket.write(frame);
    else connection.queuedFrames.push(frame);
  }

  /** Returns whether a connection takes no more messages, on its own account or because all hold too much. */
  #isFull(connection: OutboundConnection): boolean {
    const buffered = countBufferedBytes(connection);
    if (buffered > MAX_BUFFERED_BYTES) return true;
    return buffered > USUAL_BUFFERED_BYTES && this.#bufferedBytes > MAX_TOTAL_BUFFERED_BYTES;
  }

  /** Sends a keepalive to each peer with unconfirmed frames and closes connections that have timed out. */
  #checkConnections(): void {
    const now = performance.now();
    const stoodStill = now - this.#checkedAt > STANDSTILL_TIME;
    this.#checkedAt = now;
    if (stoodStill) this.#restartWaits(now);
    this.#outbound.forEach((connection, peer) => {
      const isKeepaliveDue = now - connection.keepaliveSentAt >= KEEPALIVE_INTERVAL;
      if (
        connection.ready &&
        !connection.awaitsKeepalive &&
        connection.hasUnconfirmedFrames &&
        isKeepaliveDue
      ) {
        connection.awaitsKeepalive = true;
        connection.hasUnconfirmedFrames = false;
        connection.keepaliveSentAt = now;
        connection.socket.write(KEEPALIVE_FRAME);
      }
      const isWaiting = connection.awaitsKeepalive || !connection.ready;
      const waitingSince = connection.ready
        ? connection.keepaliveSentAt
        : connection.lastReceivedAt;
      if (isWaiting && now - waitingSince > KEEPALIVE_TIMEOUT) {
        const isOpen = !connection.socket.connecting;
        const problem = isOpen ? 'no sign of life for' : 'no connection within';
        this.#options.onProblem?.(peer, `${problem} ${KEEPALIVE_TIMEOUT} ms`);
        this.#abandon(peer, connection);
      } else if (!isWaiting && now - connection.lastSentAt > IDLE_TIMEOUT) {
        this.#abandon(peer, connection);
      }
    });
  }

  /** Lets each peer have its whole time again, after a standstill of this process. */
  #restartWaits(now: number): void {
    this.#outbound.forEach((connection) => {
      if (connection.awaitsKeepalive) connection.keepaliveSentAt = now;
      if (!connection.ready) connection.lastReceivedAt = now;
    });
  }

  /** Closes a connection that was not refused, so that the next message opens another one at once. */
  #abandon(peer: Address, connection: OutboundConnection): void {
    this.#outbound.delete(peer);
    connection.socket.destroy();
  }

  async close(): Promise<void> {
    this.#closed = true;
    clearInterval(this.#timer);
    this.#outbound.forEach((link) => link.socket.destroy());
    this.#inbound.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #dial(to: Address): OutboundConnection | undefined {
    const now = performance.now();
    if ((this.#reconnectAfter.get(to) ?? 0) > now) return undefined;
    const socket = connect({ ...parseAddress(to), noDelay: true });
    const connection: OutboundConnection = {
      socket,
      queuedFrames: [],
      ready: false,
      hasUnconfirmedFrames: false,
      awaitsKeepalive: false,
      lastReceivedAt: now,
      lastSentAt: now,
      keepaliveSentAt: -Infinity,
    };
    this.#outbound.set(to, connection);
    this.#readFrames(socket, to, (nonce) => {
      connection.lastReceivedAt = performance.now();
      connection.awaitsKeepalive = false;
      if (connection.ready) return;
      const proof = computeProof(this.#options.secret, nonce, this.#options.address);
      socket.write(encodeFrame(packr.pack([this.#options.address, proof])));
      connection.queuedFrames.splice(0).forEach((frame) => socket.write(frame));
      connection.ready = true;
    });
    socket.on('error', (error) => {
      this.#options.onProblem?.(to, error.message);
    });
    socket.on('close', () => {
      // An abandoned connection was removed, and the peer may be dialled again at once.
      if (this.#outbound.get(to) !== connection) return;
      this.#outbound.delete(to);
      this.#reconnectAfter.set(to, performance.now() + RECONNECT_DELAY);
    });
    return connection;
  }

  #accept(socket: Socket): void {
    this.#inbound.add(socket);
    socket.setNoDelay(true);
    const nonce = randomBytes(NONCE_BYTES);
    let peer: Address | undefined;
    const activeAt = performance.now();
    // Counts as a client until it has authenticated: anyone can connect.
    const client = {
      clientState: { isServing: false, hasCompleted: false, activeAt },
      close: () => socket.destroy(),
    };
    processClients.add(client);
    const timer = setTimeout(() => socket.destroy(), AUTHENTICATION_TIMEOUT).unref();
    const stopCounting = (): void => {
      clearTimeout(timer);
      processClients.remove(client);
    };
    socket.write(encodeFrame(nonce));
    const onFrame = (frame: Buffer): void => {
      if (peer === undefined) {
        peer = this.#verifyPeer(nonce, frame);
        stopCounting();
        // A peer that just connected is running, so the reconnect delay no longer applies.
        this.#reconnectAfter.delete(peer);
      } else if (frame.length === 0) socket.write(KEEPALIVE_FRAME);
      else this.#deliver(peer, frame);
    };
    this.#readFrames(socket, 'unknown', onFrame, MAX_PROOF_BYTES);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      stopCounting();
      this.#inbound.delete(socket);
    });
  }

  /** Handles the frames of a connection, and closes it at the first that can't be read. */
  #readFrames(
    socket: Socket,
    peer: string,
    onFrame: (frame: Buffer) => void,
    firstFrameBytes = MAX_FRAME_BYTES,
  ): void {
    const reader = new FrameReader(firstFrameBytes);
    socket.on('data', (chunk) => {
      try {
        reader.addChunk(chunk).forEach(onFrame);
      } catch (error) {
        this.#options.onProblem?.(peer, String(error));
        socket.destroy();
      }
    });
  }

  #verifyPeer(nonce: Buffer, frame: Buffer): Address {
    const [address, proof] = packr.unpack(frame) as [string, Uint8Array];
    if (!isAddress(address))
      throw new Error('a peer named no address: set [peer] listen to an IPv4 address and port');
    const expected = computeProof(this.#options.secret, nonce, address);
    const matches = proof.length === expected.length && timingSafeEqual(expected, proof);
    if (!matches) {
      throw new Error(
        `peer ${address} failed to authenticate with the site secret: set the same [site] secret`,
      );
    }
    return address;
  }

  #deliver(from: Address, frame: Buffer): void {
    this.#traffic = {
      ...this.#traffic,
      messagesReceived: this.#traffic.messagesReceived + 1,
      bytesReceived: this.#traffic.bytesReceived + frame.length,
    };
    const [channel, message] = packr.unpack(frame) as [string, unknown];
    try {
      this.#handlers.get(channel)?.(from, message);
    } catch (error) {
      // The sender repeats what matters; closing the connection would lose the messages behind this one.
      this.#options.onProblem?.(from, `message on channel ${channel}: ${String(error)}`);
    }
  }
}

/**
 * Opens the listener and returns the mesh.
 *
 * @example
 * const mesh = await createMesh({ address: '127.0.0.1:7400', secret });
 * mesh.handle('claims', (from, message) => { ... });
 * mesh.send('127.0.0.1:7401', 'claims', { kind: 'claim' });
 */
export function createMesh(options: MeshOptions): Promise<Mesh> {
  return TcpMesh.create(options);
}
