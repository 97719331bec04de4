/**
 * The composition root of `chivewalkd`. Invariant: every component of a process is created here or by a role
 * created here, and components are stopped in reverse order on SIGTERM or SIGINT.
 */
import { Container } from 'inversify';
import type { Settings } from '../settings/index.js';
import {
  applyLogLevel,
  createLogger,
  createMetrics,
  createPlatformServer,
  createTracer,
  type Metrics,
} from '../telemetry/index.js';
import { createMembership, type Membership } from '../membership/index.js';
import { createMesh, type Mesh } from '../wire/index.js';
import { applyClientLimits } from './clientlimits.js';
import { ControlRole } from './control.js';
import { EntryRole } from './entry.js';
import type { ProcessRole } from './role.js';
import { TOKENS } from './tokens.js';

const log = createLogger('daemon');
const DEFAULT_TRACE_SHARE = 0.01;

/**
 * Creates the membership of this process. Control members join it too, because they need to know the
 * upstreams, but they announce no address for callers.
 */
function startMembership(settings: Settings, mesh: Mesh, incarnation: number): Membership {
  const { id, zone } = settings.process;
  return createMembership({
    mesh,
    self: {
      id,
      zone,
      peerAddress: settings.peer.listen,
      callerAddress: settings.entry?.caller_listen ?? '',
      incarnation,
    },
    seeds: settings.entry?.seeds ?? [],
    now: () => performance.now(),
    random: Math.random,
  });
}

function buildContainer(settings: Settings, mesh: Mesh): Container {
  const container = new Container();
  const incarnation = Date.now();
  const { id, zone } = settings.process;
  const tracer = createTracer({
    processId: id,
    otlpUrl: settings.telemetry?.otlp_url,
    sampleRatio: settings.telemetry?.trace_share ?? DEFAULT_TRACE_SHARE,
  });
  container.bind(TOKENS.settings).toConstantValue(settings);
  container.bind(TOKENS.mesh).toConstantValue(mesh);
  container.bind(TOKENS.metrics).toConstantValue(createMetrics({ process: id, zone }));
  container.bind(TOKENS.tracer).toConstantValue(tracer);
  container.bind(TOKENS.incarnation).toConstantValue(incarnation);
  container.bind(TOKENS.membership).toConstantValue(startMembership(settings, mesh, incarnation));
  container.bind(ControlRole).toSelf().inSingletonScope();
  container.bind(EntryRole).toSelf().inSingletonScope();
  return container;
}

/** Returns the roles to start, in order: an entry needs the control member of its own process. */
function selectRoles(settings: Settings, container: Container): readonly ProcessRole[] {
  const { roles } = settings.process;
  return [
    ...(roles.includes('control') ? [container.get(ControlRole)] : []),
    ...(roles.includes('entry') ? [container.get(EntryRole)] : []),
  ];
}

function registerMeshGauges(metrics: Metrics, mesh: Mesh): void {
  metrics.watchGauge(
    'chivewalk_peer_sent_bytes',
    'Bytes sent to peers.',
    () => mesh.traffic.bytesSent,
  );
  metrics.watchGauge(
    'chivewalk_peer_received_bytes',
    'Bytes received from peers.',
    () => mesh.traffic.bytesReceived,
  );
  metrics.watchGauge(
    'chivewalk_peer_sent_messages',
    'Messages sent to peers.',
    () => mesh.traffic.messagesSent,
  );
}

/** Keeps its handlers, as a second signal would otherwise end the process and cut off what it still serves. */
function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => {
      resolve('SIGTERM');
    });
    process.on('SIGINT', () => {
      resolve('SIGINT');
    });
  });
}

/**
 * Runs one process until it receives SIGTERM or SIGINT.
 *
 * @example
 * await runProcess(loadSettings('entry-1.ini').unwrap());
 */
export async function runProcess(settings: Settings): Promise<void> {
  applyLogLevel(settings.telemetry?.log_level ?? 'info');
  const mesh = await createMesh({
    address: settings.peer.listen,
    secret: settings.site.secret,
    onProblem: (peer, problem) => {
      log.debug('peer connection failed', { peer, problem });
    },
  });
  const container = buildContainer(settings, mesh);
  const metrics = container.get<Metrics>(TOKENS.metrics);
  applyClientLimits(settings, metrics);
  registerMeshGauges(metrics, mesh);
  const roles = selectRoles(settings, container);
  await roles.reduce((before, role) => before.then(() => role.start()), Promise.resolve());
  let stopping = false;
  const listen = settings.platform?.listen;
  const platform =
    listen === undefined
      ? undefined
      : await createPlatformServer(listen, metrics, {
          isReady: () => !stopping && roles.every((role) => role.isReady()),
          describeState: () =>
            roles
              .map((role) => role.describeState())
              .reduce((one, two) => ({ ...one, ...two }), {}),
        });
  const { id, zone, roles: names } = settings.process;
  log.info('process started', { id, zone, roles: names });
  const signal = await waitForSignal();
  stopping = true;
  log.info('process stopping gracefully', { signal });
  await [...roles]
    .reverse()
    .reduce((before, role) => before.then(() => role.stop()), Promise.resolve());
  await container.get<Membership>(TOKENS.membership).close();
  await platform?.close();
  await mesh.close();
  log.info('process stopped');
}
