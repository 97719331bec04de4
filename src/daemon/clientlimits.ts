/**
 * Applies the limits on clients from the settings. Invariant: a crowd of clients gives one log line when it begins and one
 * when it ends, whatever its size.
 */
import { processClients } from '../admission/index.js';
import type { Settings } from '../settings/index.js';
import { createLogger, type Metrics } from '../telemetry/index.js';

const log = createLogger('daemon');

const BYTES_PER_KB = 1024;

/** Applies the limits on clients, and logs when clients begin and cease to exceed them. */
export function applyClientLimits({ limits }: Settings, metrics: Metrics): void {
  const { max_connections, max_pipelined_requests, max_unsent_kb, steps_per_turn } = limits ?? {};
  const defaults = processClients.limits;
  processClients.configure(
    {
      maxConnections: max_connections ?? defaults.maxConnections,
      maxPipelinedRequests: max_pipelined_requests ?? defaults.maxPipelinedRequests,
      maxUnsentBytes:
        max_unsent_kb === undefined ? defaults.maxUnsentBytes : max_unsent_kb * BYTES_PER_KB,
      stepsPerTurn: steps_per_turn ?? defaults.stepsPerTurn,
    },
    (isCrowded, connections) => {
      const fields = {
        connections,
        closedConnections: processClients.countClosed('connections'),
        refusedForBytes: processClients.countClosed('bytes'),
        closedUnread: processClients.countClosed('stalled'),
      };
      if (isCrowded) log.warn('clients exceed the limits', fields);
      else log.info('clients are within the limits again', fields);
    },
  );
  const gauges: readonly (readonly [string, string, () => number])[] = [
    ['chivewalk_client_connections', 'Connections of clients.', () => processClients.size],
    [
      'chivewalk_client_connections_closed_total',
      'Connections of clients closed because there were too many.',
      () => processClients.countClosed('connections'),
    ],
    [
      'chivewalk_client_requests_refused_for_bytes_total',
      'Requests of clients refused because too many bytes were held.',
      () => processClients.countClosed('bytes'),
    ],
    [
      'chivewalk_client_connections_stalled_total',
      'Connections of clients closed because they left their answers unread.',
      () => processClients.countClosed('stalled'),
    ],
  ];
  gauges.forEach(([name, help, read]) => {
    metrics.watchGauge(name, help, read);
  });
}
