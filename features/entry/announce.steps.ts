import { Given, Then, When } from '@cucumber/cucumber';
import { createAnnouncementListener, type AnnouncementListener } from '../../src/entry/index.js';
import { findFreePorts } from '../support/ports.js';
import type { SnapshotWorld } from '../support/snapshot.js';
import { sendCall, type CallerRequest, type ObservedResponse } from './world.js';

interface AnnounceWorld extends SnapshotWorld {
  port: number;
  listener: AnnouncementListener;
  passedOn: unknown[];
  answer: ObservedResponse;
}

const TOKEN = 'a token for the tests';
const PATH = '/v1/upstreams/seam-1';

const validAnnouncement = {
  service: 'seam',
  version: '2',
  zone: 'klang',
  labels: { rack: '4' },
  address: '127.0.0.1:8080',
  slots: 6,
  max_connections: 250,
  incarnation: 7,
  age_ms: 10,
};

type AnnouncementRequest = Omit<CallerRequest, 'port'>;

/** An incarnation that the port of the test doesn't know. */
const UNKNOWN_INCARNATION = 9;
const authorized = { authorization: `Bearer ${TOKEN}` };

function createPut(body: unknown): AnnouncementRequest {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return { method: 'PUT', path: PATH, headers: authorized, body: text };
}

const cases: Readonly<Record<string, AnnouncementRequest>> = {
  valid: createPut(validAnnouncement),
  'no token': { ...createPut(validAnnouncement), headers: {} },
  'wrong token': { ...createPut(validAnnouncement), headers: { authorization: 'Bearer another' } },
  'unknown field': createPut({ ...validAnnouncement, weight: 3 }),
  'missing fields': createPut({ service: 'seam' }),
  'slots of zero': createPut({ ...validAnnouncement, slots: 0 }),
  'host name': createPut({ ...validAnnouncement, address: 'localhost:8080' }),
  'port 70000': createPut({ ...validAnnouncement, address: '127.0.0.1:70000' }),
  'label too long': createPut({ ...validAnnouncement, labels: { rack: 'x'.repeat(129) } }),
  'not JSON': createPut('{'),
  'too large': createPut({ ...validAnnouncement, labels: { rack: 'x'.repeat(20_000) } }),
  'bad id': { ...createPut(validAnnouncement), path: '/v1/upstreams/seam%201' },
  leave: { method: 'DELETE', path: `${PATH}?incarnation=7`, headers: authorized },
  'leave, unknown upstream': {
    ...{ method: 'DELETE', path: `${PATH}?incarnation=${UNKNOWN_INCARNATION}` },
    headers: authorized,
  },
  'leave, no incarnation': { method: 'DELETE', path: PATH, headers: authorized },
  'leave, no token': { method: 'DELETE', path: `${PATH}?incarnation=7` },
  'unknown path': { method: 'GET', path: '/v1/secrets', headers: authorized },
};

Given('an announcement listener', async function (this: AnnounceWorld) {
  const [port = 0] = await findFreePorts(1);
  this.port = port;
  this.passedOn = [];
  this.listener = await createAnnouncementListener({
    listen: `127.0.0.1:${port}`,
    token: TOKEN,
    renewAfterMs: 2000,
    port: {
      announce: (upstream) => this.passedOn.push({ announce: upstream }),
      leave: (id, incarnation) => {
        this.passedOn.push({ leave: id, incarnation });
        return incarnation !== UNKNOWN_INCARNATION;
      },
    },
  });
});

When(
  'an upstream sends the announcement {string}',
  async function (this: AnnounceWorld, name: string) {
    const sent = cases[name];
    if (sent === undefined) throw new Error(`no announcement case is named "${name}"`);
    this.answer = await sendCall({ ...sent, port: this.port });
  },
);

Then(
  "the listener's response and the events it forwarded match the snapshot",
  async function (this: AnnounceWorld) {
    await this.listener.stop();
    const { status, body } = this.answer;
    this.matchSnapshot({ status, body, passedOn: this.passedOn });
  },
);
