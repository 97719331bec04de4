/** A gateway gets SIGTERM twice within its grace, while orders are at work at their servers. */
import { createRoute, hasTrouble, runCase, sleep } from '../lib-2/site.mjs';

const ORDERS = 8;
/** Milliseconds of work of an order, far below the grace of 6 s. */
const WORK = 1500;
/** Milliseconds between the two signals. */
const GAP = 500;

await runCase(import.meta.url, async (site) => {
  await site.start({ stewards: 3, gateways: 2 });
  await site.putRoutes([createRoute('orders', '/orders/', 'unsafe', 'orders', '4s')]);
  for (const number of [1, 2])
    await site.addBackend({
      ...{ id: `order-${number}`, service: 'orders' },
      handle: ({ request, response, headers }) => {
        const time = request.url === '/orders/long' ? WORK : 5;
        setTimeout(() => {
          response.writeHead(200, { ...headers, 'Content-Length': 2 });
          response.end('ok');
        }, time);
      },
    });
  await site.waitUntilServing('/orders/short', 'POST');
  const options = { method: 'POST', deadline: 4000, body: 'one hold' };
  const answers = Array.from({ length: ORDERS }, () =>
    site.request(site.gatewayIps[0], '/orders/long', options),
  );
  await sleep(300);
  site.signal('gateway-1', 'SIGTERM');
  await sleep(GAP);
  if (hasTrouble) site.signal('gateway-1', 'SIGTERM');
  const results = await Promise.all(answers);
  const ran = new Set(site.backends.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const lost = results.filter(({ id, status }) => status === 0 && ran.has(id));
  return lost.map(
    ({ id }) => `order ${id} was passed on and its connection ended without an answer`,
  );
});
