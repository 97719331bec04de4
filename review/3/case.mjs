/**
 * A gateway gets SIGTERM. 3.4 s later, callers send it requests that may run once only, on connections that they
 * opened before. The gateway passes them on; their upstream works on them for longer than usual, within `grace`.
 */
import { CallerConnection, createId, GRACE_MS, record, runCase, sleep } from '../lib/site.mjs';

const ROUTE = {
  ...{ name: 'holds', path_prefix: '/holds/', kind: 'unsafe', timeout: '8000ms' },
  ...{ target_latency: '1200ms', priority: 1, service: 'orders', max_attempts: 2 },
};
const DEADLINE = 8000;
/** Milliseconds of work of a usual request. */
const USUAL_WORK = 420;
/** Below 470 / 78 of the usual work, as the site file's `batch-hold` has (`max` and `mean`). */
const LONG_WORK = 2500;
const USUAL_REQUESTS = 40;
/** Milliseconds after SIGTERM; a request sent up to 3000 after it may be cut off in the last sixth of `grace`. */
const SENT_AFTER = 3400;
const CALLERS = 3;

await runCase(import.meta.dirname, async (site) => {
  const isTroubled = process.env.TROUBLE !== '0';
  for (const zone of [0, 1, 2]) await site.addUpstream('orders', zone, 1);
  await site.putRoutes(['orders'], [ROUTE]);
  await site.waitUntilServed(['/holds/start']);
  const [ip] = site.ips;
  record(`${USUAL_REQUESTS} requests of ${USUAL_WORK} ms of work through gateway-1`);
  await Promise.all(
    Array.from({ length: USUAL_REQUESTS }, async (_, index) => {
      await sleep(index * 100);
      await site.request(ip, `/holds/usual?work=${USUAL_WORK}`, { method: 'POST', body: 'x' });
    }),
  );
  const callers = Array.from({ length: CALLERS }, () => ({
    connection: new CallerConnection(ip),
    id: createId(),
  }));
  const stoppedAt = performance.now();
  if (isTroubled) site.signal('gateway-1', 'SIGTERM');
  await sleep(SENT_AFTER);
  callers.forEach(({ connection, id }) => {
    record(`sends ${id}, ${LONG_WORK} ms of work, deadline ${DEADLINE} ms`);
    const path = `/holds/long?work=${LONG_WORK}&watch=1`;
    connection.send([{ method: 'POST', path, id, deadline: DEADLINE, body: 'x' }]);
  });
  await sleep(GRACE_MS - SENT_AFTER + 2000);
  const lost = callers.filter(({ connection, id }) => {
    const [answer] = connection.answers;
    const runs = site.findRuns(id);
    const endedAt = Math.round(connection.endedAt - stoppedAt);
    const end = connection.ending === undefined ? 'is open' : `ended ${endedAt} ms after SIGTERM`;
    record(`${id}: answer ${answer?.status ?? 'none'}, ${runs.length} runs, its connection ${end}`);
    return answer === undefined && runs.length > 0 && connection.ending !== undefined;
  });
  return lost.length === 0;
});
