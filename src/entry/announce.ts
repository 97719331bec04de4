/**
 * HTTP listener for the announcements of upstreams. Invariant: every request must carry the upstream
 * token, and only announcements that match the schema are accepted.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Ajv, type ErrorObject } from 'ajv';
import restify, { type Next, type Request, type Response } from 'restify';
import { upstreamSchema, type UpstreamAnnouncement } from '../generated/upstream.js';
import { attachClientLimits } from '../wire/index.js';
import type { Address, Duration, Upstream } from '../model/index.js';

/** Receives the accepted announcements. */
export interface AnnouncementPort {
  /** An upstream announced itself or renewed its announcement. */
  readonly announce: (upstream: Upstream) => void;
  /** An upstream reported that it is leaving; returns false if nothing is known of it. */
  readonly leave: (id: string, incarnation: number) => boolean;
}

/** Options of {@link createAnnouncementListener}. */
export interface AnnouncementOptions {
  /** Address of the listener. */
  readonly listen: Address;
  /** Bearer token that upstreams must send. */
  readonly token: string;
  /** Milliseconds after which an upstream should renew its announcement; sent in the response. */
  readonly renewAfterMs: Duration;
  readonly port: AnnouncementPort;
}

/** The running listener. */
export interface AnnouncementListener {
  readonly stop: () => Promise<void>;
}

interface Problem {
  readonly status: number;
  readonly reason: string;
  readonly message: string;
}

const MAX_BODY_BYTES = 16 * 1024;
const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const MAX_PORT = 65_535;
const MAX_OCTET = 255;
const validate = new Ajv({ allErrors: true, verbose: true }).compile<UpstreamAnnouncement>(
  upstreamSchema,
);

/** Compares the token in constant time; hashing makes both sides equally long. */
function hasToken(request: Request, token: string): boolean {
  const given = createHash('sha256').update(request.header('authorization', ''));
  const expected = createHash('sha256').update(`Bearer ${token}`);
  return timingSafeEqual(given.digest(), expected.digest());
}

function sendProblem(response: Response, { status, reason, message }: Problem): void {
  response.send(status, { reason, message });
}

const unauthorized: Problem = {
  status: 401,
  reason: 'unauthorized',
  message: 'Send "Authorization: Bearer TOKEN" with the upstream_token of the site.',
};

const badId: Problem = {
  status: 400,
  reason: 'badId',
  message: 'The id must be 1 to 64 letters, digits, dots, dashes or underscores.',
};

const badIncarnation: Problem = {
  status: 400,
  reason: 'badIncarnation',
  message: 'Name the incarnation that leaves: DELETE /v1/upstreams/{id}?incarnation=NUMBER.',
};

const unknownUpstream: Problem = {
  status: 404,
  reason: 'unknownUpstream',
  message:
    'No announcement of this id has come here: send the leave to the entry that took the announcement.',
};

const tooLarge: Problem = {
  status: 413,
  reason: 'bodyTooLarge',
  message: 'The announcement is too large: keep it under 16384 bytes.',
};

/** Reads the whole body; resolves to undefined if it exceeds {@link MAX_BODY_BYTES}. */
function readBody(request: Request): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(size <= MAX_BODY_BYTES ? Buffer.concat(chunks) : undefined);
    });
    request.on('error', reject);
  });
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

function describeSchemaErrors(errors: readonly ErrorObject[]): string {
  const lines = errors.map(({ instancePath, message, params, parentSchema }) => {
    const where = instancePath === '' ? 'the announcement' : instancePath.slice(1);
    const extra = 'additionalProperty' in params ? ` (${String(params.additionalProperty)})` : '';
    const { description } = (parentSchema ?? {}) as { readonly description?: string };
    const meaning = instancePath === '' || description === undefined ? '' : ` (${description})`;
    return `${where} ${message ?? 'is wrong'}${extra}${meaning}`;
  });
  return `${lines.join('; ')}. See docs/UPSTREAMS.md.`;
}

function isValidAddress(address: Address): boolean {
  const [ip = '', port = ''] = address.split(':');
  const octets = ip.split('.').map(Number);
  return (
    octets.every((octet) => octet <= MAX_OCTET) && Number(port) >= 1 && Number(port) <= MAX_PORT
  );
}

/** Returns why a parsed body is not a valid announcement, or undefined if it is one. */
function findProblem(body: unknown): Problem | undefined {
  if (body === undefined) {
    return { status: 400, reason: 'badJson', message: 'The body must be one JSON object.' };
  }
  if (!validate(body)) {
    const message = describeSchemaErrors(validate.errors ?? []);
    return { status: 400, reason: 'badAnnouncement', message };
  }
  if (!isValidAddress(body.address)) {
    const message = 'address must be an IPv4 number and a port, such as 10.0.0.7:8080.';
    return { status: 400, reason: 'badAddress', message };
  }
  return undefined;
}

function toUpstream(id: string, body: UpstreamAnnouncement): Upstream {
  return {
    id,
    service: body.service,
    version: body.version,
    zone: body.zone,
    labels: body.labels ?? {},
    address: body.address,
    slots: body.slots,
    maxConnections: body.max_connections,
    incarnation: body.incarnation,
    leaving: false,
    age: body.age_ms,
  };
}

async function handleAnnounce(
  options: AnnouncementOptions,
  request: Request,
  response: Response,
): Promise<void> {
  const id = String((request.params as { readonly id?: string }).id);
  if (!ID_PATTERN.test(id)) {
    sendProblem(response, badId);
    return;
  }
  const text = await readBody(request);
  if (text === undefined) {
    sendProblem(response, tooLarge);
    return;
  }
  const body = parseJson(text);
  const problem = findProblem(body);
  if (problem !== undefined) {
    sendProblem(response, problem);
    return;
  }
  options.port.announce(toUpstream(id, body as UpstreamAnnouncement));
  response.send(200, { renew_after_ms: options.renewAfterMs });
}

function handleLeave(options: AnnouncementOptions, request: Request, response: Response): void {
  const id = String((request.params as { readonly id?: string }).id);
  const incarnation = new URLSearchParams(request.getQuery()).get('incarnation') ?? '';
  if (!ID_PATTERN.test(id)) sendProblem(response, badId);
  else if (!/^\d{1,16}$/.test(incarnation)) sendProblem(response, badIncarnation);
  else if (options.port.leave(id, Number(incarnation))) response.send(200, { leaving: true });
  else sendProblem(response, unknownUpstream);
}

/**
 * Opens the listener and resolves once it accepts connections.
 *
 * @example
 * await createAnnouncementListener({ listen: '10.0.0.1:7500', token, renewAfterMs: 2000, port });
 */
export async function createAnnouncementListener(
  options: AnnouncementOptions,
): Promise<AnnouncementListener> {
  const server = restify.createServer({ name: 'chivewalk' });
  attachClientLimits(server.server);
  server.use((request: Request, response: Response, next: Next) => {
    if (hasToken(request, options.token)) {
      next();
      return;
    }
    sendProblem(response, unauthorized);
    next(false);
  });
  server.put('/v1/upstreams/:id', async (request: Request, response: Response) => {
    await handleAnnounce(options, request, response);
  });
  server.del('/v1/upstreams/:id', (request: Request, response: Response, next: Next) => {
    handleLeave(options, request, response);
    next();
  });
  const colon = options.listen.lastIndexOf(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(options.listen.slice(colon + 1)), options.listen.slice(0, colon), resolve);
  });
  return {
    stop: async () => {
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}
