/**
 * Serves the metrics of a process that loads no web framework. Invariant: it serves a single path, `/metrics`,
 * and has no side effects.
 */
import type { Address } from '../model/index.js';
import { openHttpListener, type HttpListener } from '../wire/index.js';
import { createLogger } from './log.js';
import type { Metrics } from './metrics.js';

const log = createLogger('telemetry');

/**
 * Opens the listener for metrics.
 *
 * @example
 * await createMetricsServer('10.0.1.4:9464', metrics); // GET /metrics
 */
export function createMetricsServer(listen: Address, metrics: Metrics): Promise<HttpListener> {
  let rendering: Promise<string> | undefined;
  // Calls that come together share a text, as rendering it takes milliseconds.
  const render = (): Promise<string> => {
    rendering ??= metrics.renderText().finally(() => {
      rendering = undefined;
    });
    return rendering;
  };
  return openHttpListener({
    listen,
    handle: async ({ url }) =>
      url === '/metrics'
        ? {
            status: 200,
            headers: { 'Content-Type': 'text/plain; version=0.0.4' },
            body: await render(),
          }
        : { status: 404 },
    onProblem: (target, error) => {
      log.error('call failed', { path: target, reason: String(error) });
    },
  });
}
