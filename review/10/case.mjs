/** All control processes are killed at once; a server leaves while they come back, without a body as the pages print it. */
import { createRoute, hasTrouble, runCase, sleep } from '../lib-2/site.mjs';

const DRAIN = 2000;
const CONTACT = 3000;
/** Milliseconds for which the server goes on after its leave was acknowledged; it may be many seconds. */
const STAY = 9000;
/** Milliseconds until the control processes are back; the pages allow a second. */
const DOWN = 300;
const CLIENTS = 24;

function answerSoon({ response, headers }) {
  setTimeout(() => {
    response.writeHead(200, { ...headers, 'Content-Length': 2 });
    response.end('ok');
  }, 100);
}

/** Sends the leave to one control address after the other until one acknowledges it. */
async function leave(site) {
  const options = { method: 'POST', path: '/-/Instances.Leave/record-2', timeout: 1000 };
  for (let attempt = 0; attempt < 2000; attempt += 1) {
    const ip = site.stewardIps[attempt % site.stewardIps.length];
    const answer = await site.control([ip], options).catch(() => undefined);
    if (answer?.status === 200) {
      site.record(`the leave of record-2 is acknowledged by way of ${ip}`);
      return;
    }
    await sleep(20);
  }
  throw new Error('no control address acknowledged the leave');
}

await runCase(import.meta.url, async (site) => {
  await site.start({ stewards: 3, gateways: 2 });
  await site.putRoutes([createRoute('look-ups', '/look/', 'safe', 'records', '600ms')]);
  const common = { service: 'records', handle: answerSoon, slots: 2 };
  for (const number of [1, 3, 4, 5, 6, 7, 8])
    await site.addBackend({ id: `record-${number}`, ...common });
  const leaving = await site.addBackend({ id: 'record-2', ...common });
  await site.waitUntilServing('/look/a');

  if (hasTrouble) {
    const names = ['steward-1', 'steward-2', 'steward-3'];
    names.forEach((name) => site.signal(name, 'SIGKILL'));
    await Promise.all(names.map((name) => site.waitForEnd(name)));
    await sleep(DOWN);
    site.stewardIps.forEach((ip, at) => site.startProcess('steward', ip, at, false));
  }
  const startedAt = performance.now();
  leaving.stopBeating();
  await leave(site);
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
  // The gateways are in touch again `contact` after the last start of a control process.
  const bound = Math.max(acknowledgedAt + DRAIN, startedAt + 2 * CONTACT);
  const late = leaving.runs.filter(({ id, at }) => at > bound && (sentAt.get(id) ?? 0) > bound);
  const afterwards = await site.order({ path: '/-/Config.Get' });
  site.record(`the control processes answer ${afterwards.status} again`);
  site.record(
    `${late.length} requests sent over ${Math.round(bound - acknowledgedAt)} ms after the acknowledgement reached it`,
  );
  return late.map(({ id, at }) => `${id} ran ${Math.round(at - acknowledgedAt)} ms after it`);
});
