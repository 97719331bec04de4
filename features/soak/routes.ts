/**
 * Watches routes that were added during a run, from outside: each gateway that ran undisturbed serves them in time,
 * and no gateway answers 404 for one of them once its time is over.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Site } from '../platform/site.js';

/** Milliseconds after an acknowledged configuration in which a gateway or a read may still follow an older one. */
export const CONFIG_BOUND = 2000;
/** Milliseconds between requests for a route that a gateway doesn't serve yet, and for one that it serves. */
const PROBE_INTERVALS = { unserved: 100, served: 500 } as const;

/** A gateway as the watch sees it. */
export interface WatchedGateway {
  readonly ip: string;
  /** Returns the time from which on this gateway and the stewards have run undisturbed; Infinity if they don't yet. */
  readonly findCalmTime: () => number;
}

/** The watch over the added routes of one run. */
export class RouteWatch {
  readonly violations: string[] = [];
  readonly #site: Site;
  readonly #gateways: readonly WatchedGateway[];
  readonly #watches: Promise<void>[] = [];
  #isStopped = false;

  constructor(site: Site, gateways: readonly WatchedGateway[]) {
    this.#site = site;
    this.#gateways = gateways;
  }

  /** Begins to watch a route; `acknowledgedAt` is when the configuration with it was acknowledged. */
  add(path: string, acknowledgedAt: number): void {
    this.#watches.push(
      ...this.#gateways.map((gateway) => this.#watch(gateway, path, acknowledgedAt)),
    );
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#watches);
  }

  async #watch(
    { ip, findCalmTime }: WatchedGateway,
    path: string,
    acknowledgedAt: number,
  ): Promise<void> {
    let isServed = false;
    while (!this.#isStopped) {
      const sentAt = performance.now();
      const answer = await this.#site.call(ip, path).catch(() => undefined);
      isServed ||= answer?.status === 200;
      const isDue = sentAt > Math.max(acknowledgedAt, findCalmTime()) + CONFIG_BOUND;
      const isDenied = answer?.status === 404 && sentAt > acknowledgedAt + CONFIG_BOUND;
      if (isDenied || (!isServed && isDue)) {
        const late = Math.round(sentAt - acknowledgedAt);
        this.violations.push(
          `${ip} answered ${answer?.status ?? 'nothing'} for ${path}, added ${late} ms before`,
        );
        return;
      }
      await sleep(isServed ? PROBE_INTERVALS.served : PROBE_INTERVALS.unserved);
    }
  }
}
