/**
 * Serves the metrics of a process that loads no web framework. Invariant: it serves a single path, `/metrics`,
 * and has no side effects.
 */
import { createServer } from 'node:http';
import { parseAddress, type Address } from '../model/index.js';
import type { Metrics } from './metrics.js';

/** A running listener for metrics. */
export interface MetricsServer {
  close(): void;
}

/**
 * Opens the listener for metrics.
 *
 * @example
 * await createMetricsServer('10.0.1.4:9464', metrics); // GET /metrics
 */
export async function createMetricsServer(
  listen: Address,
  metrics: Metrics,
): Promise<MetricsServer> {
  const server = createServer((request, response) => {
    if (request.url !== '/metrics') {
      response.writeHead(404);
      response.end();
      return;
    }
    void metrics.renderText().then((text) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(text);
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(parseAddress(listen), resolve);
  });
  return {
    close: () => {
      server.close();
    },
  };
}
