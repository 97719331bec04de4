/** A server crashes, starts again under its id and leaves before one of its new heartbeats has arrived. */
import { createRoute, hasTrouble, runCase, sleep } from '../lib-2/site.mjs';

const DRAIN = 2000;
/** Milliseconds for which the server goes on after its leave was acknowledged; it may be many seconds. */
const STAY = 12_000;
const CLIENTS = 40;

function answerSoon({ response, headers }) {
  setTimeout(() => {
    response.writeHead(200, { ...headers, 'Content-Length': 2 });
    response.end('ok');
  }, 100);
}

await runCase(import.meta.url, async (site) => {
  await site.start({ stewards: 3, gateways: 2 });
  await site.putRoutes([createRoute('look-ups', '/look/', 'safe', 'records', '600ms')]);
  const common = { service: 'records', handle: answerSoon, slots: 2 };
  for (const number of [1, 3, 4, 5, 6, 7, 8])
    await site.addBackend({ id: `record-${number}`, ...common });
  const first = await site.addBackend({ id: 'record-2', ...common });
  await site.waitUntilServing('/look/a');

  let leaving = first;
  if (hasTrouble) {
    first.close();
    site.record('backend record-2 crashes');
    await sleep(500);
    // Its heartbeats are late: none arrives before it leaves.
    leaving = await site.addBackend({ id: 'record-2', ip: first.ip, silent: true, ...common });
    site.record('backend record-2 is back under the same id and address');
  } else first.stopBeating();
  await sleep(500);
  const path = '/-/Instances.Leave/record-2';
  const body = JSON.stringify({ born: leaving.born });
  const { status } = await site.order({ method: 'POST', path, body });
  if (status !== 200) throw new Error(`the leave is answered ${status}`);
  const acknowledgedAt = performance.now();
  const until = acknowledgedAt + STAY;
  const sentAt = new Map();
  await Promise.all(
    Array.from({ length: CLIENTS }, async (_, client) => {
      while (performance.now() < until) {
        const at = performance.now();
        const answer = await site.request(site.gatewayIps[client % 2], '/look/b');
        sentAt.set(answer.id, at);
        await sleep(20);
      }
    }),
  );
  const late = leaving.runs.filter(({ id, at }) => {
    const bound = acknowledgedAt + DRAIN;
    return at > bound && (sentAt.get(id) ?? 0) > bound;
  });
  site.record(`${late.length} requests sent over ${DRAIN} ms after the acknowledgement reached it`);
  return late.map(({ id, at }) => `${id} ran ${Math.round(at - acknowledgedAt)} ms after it`);
});
