/** Servers that reject while they are full send some of their answers a second time, late. */
import { setTimeout as sleep } from 'node:timers/promises';
import { buildConfig, Client, Record, Server, Site } from '../lib-3/site.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** Services, with one server each, and clients of each; a few more requests at once than a server has room for. */
const SERVICES = 5;
const CLIENTS = 24;
/** Largest dose of the site file: garble, "extra late", share 0.6, x 0.03, for 5 s. */
const [SHARE, X, FOR_S, GAP_S, TIMES] = [0.6, 0.03, 5, 1, 12];

const record = new Record();
const site = await Site.start();
const names = Array.from({ length: SERVICES }, (_, at) => `hold${at + 1}`);
let exitCode = 2;
try {
  await site.putConfig(
    buildConfig(
      names.map((service) => ({
        ...{ name: `r-${service}`, path_prefix: `/${service}/`, kind: 'unsafe', service },
        ...{ timeout: '2000ms', target_latency: '250ms', priority: 1, max_attempts: 2 },
      })),
    ),
  );
  const servers = names.map(
    (service, at) =>
      new Server(site, record, {
        ...{ id: `i-${service}`, service, at: at % site.ips.length, number: at + 1 },
        ...{ slots: 6, queueLimit: 4, workMs: 60 },
      }),
  );
  await Promise.all(servers.map((server) => server.start()));
  await Promise.all(site.ips.map((_, at) => site.waitUntilReady(at)));

  let isGarbling = false;
  let resent = 0;
  let extras = 0;
  servers.forEach((server, at) => {
    const isFaulty = at < SERVICES * SHARE;
    server.onAnswered = (connection, id, bytes) => {
      connection.last = id;
      if (isGarbling && isFaulty && Math.random() < X) connection.late = { id, bytes };
    };
    server.onRequest = (connection, id) => {
      if (connection.last === id) resent += 1;
      const { late } = connection;
      connection.late = undefined;
      if (late === undefined) return;
      extras += 1;
      record.add(`${server.id} sends the answer to ${late.id} a second time, before that to ${id}`);
      connection.socket.write(late.bytes);
    };
  });

  const results = [];
  let isSending = true;
  let sent = 0;
  const clients = Array.from({ length: SERVICES * CLIENTS }, async (_, at) => {
    const service = names[at % SERVICES];
    const client = new Client(site.ips[Math.floor(at / SERVICES) % site.ips.length]);
    await sleep(Math.random() * 300);
    while (isSending) {
      sent += 1;
      const id = `a${String(sent).padStart(8, '0')}`;
      record.add(`client ${at} sends ${id}`);
      const answer = await client.send({
        ...{ method: 'POST', target: `/${service}/${at}`, host: 'site.example', id },
        ...{ deadlineMs: 2000, body: Buffer.from(`hold ${id}`) },
      });
      record.add(`client ${at} gets ${answer.status} ${answer.reason ?? ''} for ${id}`);
      results.push({ id, ...answer });
      const wait = Number(answer.fields?.get('retry-after') ?? 0) * 1000;
      await sleep(Math.min(wait, 600) + 200 * Math.random());
    }
    client.close();
  });
  for (let time = 0; time < TIMES; time += 1) {
    await sleep(GAP_S * 1000);
    isGarbling = TROUBLE;
    await sleep(FOR_S * 1000);
    isGarbling = false;
  }
  isSending = false;
  await Promise.all(clients);
  await sleep(1000);
  servers.forEach((server) => server.stop());

  const runs = new Map();
  servers.flatMap((server) => server.runs).forEach((id) => runs.set(id, (runs.get(id) ?? 0) + 1));
  const twice = [...runs].filter(([, count]) => count > 1);
  const refused = results.filter(
    ({ id, status }) => [408, 421, 429, 503].includes(status) && runs.has(id),
  );
  const statuses = new Map();
  results.forEach(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
  twice.forEach(([id, count]) => record.add(`TWICE: ${id} ran ${count} times`));
  refused.forEach(({ id, status }) => record.add(`REFUSED: ${id} was answered ${status} and ran`));
  const summary = `${results.length} requests (${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}), ${resent} sent again on the same connection, ${extras} extra answers; TWICE ${twice.length}, REFUSED ${refused.length}`;
  record.add(summary);
  console.log(summary);
  exitCode = twice.length + refused.length > 0 ? 1 : 0;
  if (results.filter(({ status }) => status === 200).length < 100) exitCode = 2;
} catch (error) {
  record.add(`the case could not run: ${String(error)}`);
  console.error(error);
} finally {
  record.write(new URL('record.txt', import.meta.url));
  await site.stop();
}
process.exit(exitCode);
