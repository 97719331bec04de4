/**
 * Serves liveness, readiness and metrics to the platform that runs the process. Invariant: it serves only these
 * three paths and has no side effects.
 */
import restify from 'restify';
import { attachClientLimits } from '../wire/index.js';
import type { Address } from '../model/index.js';
import type { Metrics } from './metrics.js';

/** State of the process that the readiness path reports. */
export interface PlatformState {
  /** Returns whether the process should receive traffic. */
  readonly isReady: () => boolean;
  /** Returns additional fields of the readiness response, such as the revision in force. */
  readonly describeState: () => Readonly<Record<string, string | number | boolean>>;
}

/** A running listener for the platform. */
export interface PlatformServer {
  close(): Promise<void>;
}

const OK = 200;
const UNAVAILABLE = 503;

/**
 * Opens the listener for the platform.
 *
 * @example
 * await createPlatformServer('127.0.0.1:9100', metrics, { isReady: () => true, describeState: () => ({}) });
 */
export async function createPlatformServer(
  listen: Address,
  metrics: Metrics,
  state: PlatformState,
): Promise<PlatformServer> {
  const server = restify.createServer({ name: 'chivewalk' });
  attachClientLimits(server.server);
  server.get('/live', (_, response, next) => {
    response.send(OK, { live: true });
    next();
  });
  server.get('/ready', (_, response, next) => {
    const ready = state.isReady();
    response.send(ready ? OK : UNAVAILABLE, { ready, ...state.describeState() });
    next();
  });
  server.get('/metrics', (_, response, next) => {
    void metrics.renderText().then((text) => {
      response.sendRaw(OK, text, { 'content-type': 'text/plain; version=0.0.4' });
      next();
    });
  });
  const [ip = '', port = ''] = listen.split(':');
  await new Promise<void>((resolve, reject) => {
    server.on('error', reject);
    server.listen(Number(port), ip, resolve);
  });
  return {
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      }),
  };
}
