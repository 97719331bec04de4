/** A TCP proxy on loopback that injects link faults: delay, reset, and loss in one or both directions. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { isOrderlyEnd } from '../../src/gateway/streamend.js';

/** The fault that the proxy applies to its connections. */
export type LinkFault =
  | { readonly kind: 'none' }
  /** Data arrives late by `ms` milliseconds, in order. */
  | { readonly kind: 'delay'; readonly ms: number }
  /** Data is dropped in both directions, and the connections stay open. */
  | { readonly kind: 'silent' }
  /** Requests are forwarded, responses are dropped. */
  | { readonly kind: 'oneWay' };

const NO_FAULT: LinkFault = { kind: 'none' };

/** A proxy in front of one address. */
export class Link {
  #fault: LinkFault = NO_FAULT;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Connections that have dropped data. They forward nothing more, because a gap would corrupt the stream. */
  readonly #silenced = new WeakSet<Socket>();

  private constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#server = createServer((inbound) => {
      const outbound = connect(Number(port), host);
      this.#forward(inbound, outbound, 'request');
      this.#forward(outbound, inbound, 'answer');
    });
  }

  /** Listens on one address and forwards its connections to another. */
  static async open(listen: string, target: string): Promise<Link> {
    const link = new Link(target);
    const [host, port] = listen.split(':');
    await new Promise<void>((resolve, reject) => {
      link.#server.once('error', reject);
      link.#server.listen(Number(port), host, resolve);
    });
    return link;
  }

  /** Sets the fault from now on; connections that have dropped data stay silent. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
  }

  /** Resets (TCP RST) all open connections. */
  resetAll(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close(): void {
    this.#server.close();
    this.resetAll();
  }

  #forward(from: Socket, to: Socket, direction: 'request' | 'answer'): void {
    this.#sockets.add(from);
    let lastScheduledAt = 0;
    const schedule = (act: () => void): void => {
      const wait = this.#fault.kind === 'delay' ? this.#fault.ms : 0;
      lastScheduledAt = Math.max(lastScheduledAt, performance.now() + wait);
      if (lastScheduledAt <= performance.now()) act();
      else setTimeout(act, lastScheduledAt - performance.now());
    };
    from.on('data', (chunk: Buffer) => {
      const { kind } = this.#fault;
      const isLost = kind === 'silent' || (kind === 'oneWay' && direction === 'answer');
      if (isLost) this.#silenced.add(from);
      if (this.#silenced.has(from)) return;
      schedule(() => {
        to.write(chunk);
      });
    });
    from.on('end', () => {
      if (this.#silenced.has(from)) return;
      const isOrderly = isOrderlyEnd(from);
      schedule(() => {
        if (isOrderly) to.end();
        else to.resetAndDestroy();
      });
    });
    from.on('error', () => {
      to.resetAndDestroy();
    });
    from.on('close', () => {
      this.#sockets.delete(from);
    });
  }
}
