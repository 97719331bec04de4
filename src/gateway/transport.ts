/**
 * Datagrams between gateways. Invariant: a datagram reaches at most one handler, and one that can't be read ends
 * nothing but itself.
 */
import { createSocket } from 'node:dgram';
import { Packr } from 'msgpackr';
import { parseAddress, type Address } from '../model/index.js';

const packr = new Packr({ useRecords: false });
/** Bytes of the IPv4 and UDP headers of a datagram. */
const DATAGRAM_OVERHEAD = 28;

/** A datagram: its kind, and what belongs to it. */
export type Datagram = readonly [kind: string, ...fields: (readonly unknown[] | string | number)[]];

/** Receives the datagrams of one kind; an error that it throws is reported as a problem. */
export type DatagramHandler = (from: Address, fields: readonly unknown[]) => void;

/** Sends and receives datagrams until it is closed. */
export interface GossipTransport {
  /** Sets the handler of a kind of datagrams. */
  handle(kind: string, handler: DatagramHandler): void;
  /**
   * Sends a datagram to each peer, and returns the bytes that all of them take on the link. It may be lost, and is after
   * the transport was closed.
   */
  send(peers: readonly Address[], datagram: Datagram): number;
  close(): void;
}

/** Options of {@link createTransport}. */
export interface TransportOptions {
  readonly listen: Address;
  readonly onProblem: (message: string) => void;
}

/**
 * Opens the UDP socket of a gateway.
 *
 * @example
 * const transport = createTransport({ listen: '10.0.1.4:7215', onProblem: console.warn });
 * transport.handle('gateway', (from, [rows]) => { ... });
 */
export function createTransport({ listen, onProblem }: TransportOptions): GossipTransport {
  const handlers = new Map<string, DatagramHandler>();
  const socket = createSocket('udp4');
  const receive = (from: Address, message: Buffer): void => {
    const value: unknown = packr.unpack(message);
    const [kind, ...fields] = Array.isArray(value) ? (value as readonly unknown[]) : [];
    const handler = handlers.get(String(kind));
    if (handler === undefined)
      throw new Error('a datagram is of no known kind: check what else sends to this address');
    handler(from, fields);
  };
  socket.on('message', (message, { address, port }) => {
    try {
      receive(`${address}:${port}`, message);
    } catch (error) {
      onProblem(String(error));
    }
  });
  socket.on('error', (error) => {
    onProblem(error.message);
  });
  const { host, port } = parseAddress(listen);
  socket.bind(port, host);
  let isClosed = false;
  return {
    handle: (kind, handler) => {
      handlers.set(kind, handler);
    },
    send: (peers, datagram) => {
      if (isClosed || peers.length === 0) return 0;
      const message = packr.pack(datagram);
      peers.forEach((peer) => {
        const { host: peerHost, port: peerPort } = parseAddress(peer);
        socket.send(message, peerPort, peerHost);
      });
      return (message.length + DATAGRAM_OVERHEAD) * peers.length;
    },
    close: () => {
      isClosed = true;
      socket.close();
    },
  };
}
