/**
 * The gateway process role: accepts callers' requests and forwards them to upstreams. Invariant: a request
 * is only sent to an instance that the latest catalog received by this gateway allows, within the retry and
 * cold-start limits of the fleet, and its caller gets exactly one final answer.
 */
import { createServer, type Server, type Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import { setTimeout as wait } from 'node:timers/promises';
import { computeTopRanks } from '../accounts/index.js';
import { isIdempotentKind, isLargeKind, type Catalog, type Route } from '../catalog/index.js';
import {
  createFollower,
  DEFAULT_FRESH_FOR,
  type EntryRecord,
  type FeedChange,
  type FeedView,
  type Follower,
} from '../feed/index.js';
import {
  getHeader,
  listForwardableHeaders,
  type HeaderList,
  type RequestHead,
} from '../http1/index.js';
import {
  parseAddress,
  type Address,
  type Duration,
  type Instant,
  type ZoneId,
} from '../model/index.js';
import { DEFAULT_MAX_EXTRA_WORK, HedgeTracker } from '../hedging/index.js';
import { isRejecting } from '../placement/index.js';
import { hasProcessEnded } from '../quarantine/index.js';
import { createLogger } from '../telemetry/index.js';
import type { UsageCounter } from '../usage/index.js';
import type { Mesh } from '../wire/index.js';
import {
  addOutcome,
  markCold,
  markColdFromLog,
  addLimit,
  claimSlot,
  isRateShared,
  isTurningAway,
  renewSlot,
  finishOutdatedCold,
  UpstreamRegistry,
  type FleetShare,
} from './registry.js';
import { BufferBudget, computeBufferLimit, findMemoryProblem } from './buffers.js';
import { RetryBudget, type ColdBounds, type MovingAverage, type RetryBounds } from './budget.js';
import type {
  CallerAnswer,
  CallerConnection,
  CallerHost,
  CallerRequest,
  RequestFault,
  ServedRequest,
} from './caller.js';
import { CallerConnections, type CallerCounts } from './callers.js';
import type { Sample } from '../rollout/index.js';
import { chooseUpstream, computePace, hasFreeSlot, type Choice } from './choose.js';
import { EvidenceCollector, judgeAttempt, OverdueWatch, SLOW_RATIO } from './evidence.js';
import { createCollector, type Collector } from './collector.js';
import { isProbeWorthwhile } from './ondemand.js';
import { ConnectionPool, MAX_RESPONSE_BYTES, type Attempt, type ConnectionCounts } from './pool.js';
import { computeProbeInterval, RequestRates } from './probing.js';
import { createProber, recordLoad, type Prober } from './prober.js';
import { createCrashGossip, type CrashGossip } from './crashgossip.js';
import { createLoadGossip, type LoadGossip } from './gossip.js';
import { parseLimit, recordTurningAway } from './notices.js';
import { RequestQuarantine } from './quarantine.js';
import { listByZone, listCallerAddresses } from './directory.js';
import { RequestQueues, type WaitCounts } from './queues.js';
import { planGossip, type GossipPlan } from './relays.js';
import { buildRouteIndex, matchRoute, WeightedSplitter, type RouteIndex } from './router.js';
import { buildRequest } from './request.js';
import { RequestRun, type RunHost, type SentAttempt } from './run.js';
import { RequestAdmission, type AdmittedRequest, type RefusalCounts } from './admission.js';
import { buildLocalAnswer, renderFinalAnswer } from './answers.js';
import { describeCommands, describeState } from './statelines.js';
import { createTransport, type GossipTransport } from './transport.js';
import { AverageWork } from './work.js';
import { resolveVersion, VersionSplitter } from './shares.js';
import { buildStopPlan, isTakenInStop, type StopPlan } from './stopping.js';
import type {
  AttemptOutcome,
  FinalAnswer,
  GatewayRequest,
  HeaderDialect,
  UpstreamRecord,
} from './types.js';

const log = createLogger('gateway');

/** Share of the remaining time that the expected time may take, for requests of the service's most urgent rank. */
const MAX_DEADLINE_SHARE = 0.8;
/** Amount by which {@link MAX_DEADLINE_SHARE} drops for each rank below the most urgent one of the service. */
const DEADLINE_SHARE_STEP = 0.15;
/** Interval at which the timeouts of callers' connections are checked, in milliseconds. */
const SWEEP_INTERVAL: Duration = 500;
/** Limits in effect until the first route table arrives. */
const INITIAL_LIMITS = {
  headBytes: 16_384,
  bodyBytes: 1_048_576,
  headTimeout: 3000,
  idleTimeout: 15_000,
};
/** Multiple of the expected time beyond which a cancelled attempt counts against its upstream. */
const OVERDUE_RATIO = 3;

/**
 * Milliseconds after a request's deadline from which the end of its attempt tells nothing of the upstream: this
 * process stood still and ended the attempt late.
 */
const MAX_TIMER_DELAY: Duration = 500;
/** Milliseconds for which evidence against a new version is collected before it is sent ahead of the next poll. */
const EVIDENCE_DELAY: Duration = 30;

/** Multiple of a service's shortest work after which a load report is sent to other zones again. */
const FAR_WORK_RATIO = 2;
/** Maximum milliseconds between two load reports of an upstream to other zones. */
const MAX_FAR_INTERVAL: Duration = 1500;

/** Retry-After of requests that there is no room for, in milliseconds. */
const NO_ROOM_RETRY_AFTER: Duration = 1000;

/** Options of {@link openGateway}. */
export interface GatewayOptions {
  readonly id: string;
  readonly zone: ZoneId;
  /** CPU share of the VM; the gateways with the largest capacity relay load reports. */
  readonly capacity: number;
  /** Bytes that the VM's link carries in a second, of which gossip takes a bounded share; unlimited by default. */
  readonly linkRate?: number | undefined;
  /** Memory of the process in MB, from which the limit of the bytes of messages is derived. */
  readonly memory: number;
  readonly callerListen: Address;
  readonly mesh: Mesh;
  /** Addresses at which control members may be found. */
  readonly seeds: readonly Address[];
  readonly dialect: HeaderDialect;
  readonly retryBounds: RetryBounds;
  /** Share of the work of first attempts that hedges may add; 0 disables them. */
  readonly maxExtraWork?: number | undefined;
  readonly coldBounds: ColdBounds;
  /** Shortest time in milliseconds after which an upstream's load report is stale and it is probed again. */
  readonly probeInterval: Duration;
  /** Average number of probes per second and upstream that all gateways may make together. */
  readonly probeRate: number;
  /** Milliseconds within which the process must exit after a stop is requested. */
  readonly stopTime: Duration;
  /** Age in milliseconds up to which the state counts as current; {@link DEFAULT_FRESH_FOR} by default. */
  readonly maxStateAge?: Duration;
  /** Records the metrics of a finished request. */
  readonly recordCall: (service: string, outcome: string, latency: Duration) => void;
  /** Counts requests for the usage reports, if any. */
  readonly usage?: UsageCounter | undefined;
  /** Starts following the control members; {@link createFollower} unless a test replaces it. */
  readonly follow?: typeof createFollower;
}

/** A running gateway. */
export interface Gateway {
  /** Whether callers should be directed to this gateway. */
  isReady(): boolean;
  /** Returns the addresses of ready gateways for callers in the zone. */
  listAddresses(zone: ZoneId): readonly Address[];
  readonly view: FeedView;
  /** Milliseconds since the state was certainly current; Infinity before the first one. */
  readonly stateAge: Duration;
  readonly refusals: RefusalCounts;
  /** What happened on the connections to upstreams. */
  readonly connections: Readonly<ConnectionCounts>;
  readonly callers: CallerCounts;
  /** The requests that found no room. */
  readonly waits: WaitCounts;
  /** Number of upstreams that reject requests although they have free slots. */
  readonly rejectingUpstreams: number;
  /** The bytes of the messages that the gateway holds. */
  readonly buffers: BufferBudget;
  /** The requests that are refused because they crash upstreams. */
  readonly quarantine: RequestQuarantine;
  readonly hedging: HedgeTracker;
  /** Whether its state is old, so that the seeds are worth reading again. */
  readonly isLost: boolean;
  /** Replaces the seeds, after the settings were read again. */
  setSeeds(seeds: readonly Address[]): void;
  /**
   * Drains the gateway: reports it as not ready, waits for running requests, then closes. The signal to stop was sent at
   * `signalledAt` or later.
   */
  stop(signalledAt: Instant): Promise<void>;
}

class RunningGateway implements Gateway, RunHost, CallerHost {
  readonly #options: GatewayOptions;
  readonly #dialect: HeaderDialect;
  readonly #droppedRequestHeaders: ReadonlySet<string>;
  readonly #registry = new UpstreamRegistry();
  readonly buffers: BufferBudget;
  readonly #collector: Collector;
  readonly #pool: ConnectionPool;
  readonly #follower: Follower;
  readonly #transport: GossipTransport;
  readonly #loadGossip: LoadGossip;
  readonly #crashGossip: CrashGossip;
  readonly hedging: HedgeTracker;
  readonly quarantine: RequestQuarantine;
  readonly #runs = new Map<GatewayRequest, RequestRun>();
  readonly #prober: Prober;
  readonly #server: Server;
  readonly #timeoutTimer: NodeJS.Timeout;
  readonly #callers: CallerConnections;
  readonly #routeSplitters = new Map<string, WeightedSplitter>();
  readonly #versionSplitter = new VersionSplitter();
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #averageWork = new AverageWork();
  readonly #requestRates = new RequestRates();
  readonly #evidence = new EvidenceCollector();
  readonly #overdue = new OverdueWatch<GatewayRequest, UpstreamRecord>();
  #evidenceTimer: NodeJS.Timeout | undefined;
  #catalog: Catalog | undefined;
  #routes: RouteIndex = new Map();
  #limits = INITIAL_LIMITS;
  #topRanks: ReadonlyMap<string, number> = new Map();
  #entries: readonly EntryRecord[] = [];
  #gateways: readonly string[];
  #gatewaysByZone: ReadonlyMap<ZoneId, readonly string[]> = new Map();
  #gossipPlan: GossipPlan = { kind: 'direct', peers: [], farPeers: [] };
  /** Undefined unless the gateway is stopping. */
  #stopPlan: StopPlan | undefined;
  /** Whether the update at hand is the first one of this process, whose commands may be of any age. */
  #isCatchingUp = true;
  /** Whether the gateway has been able to serve. */
  #isServing = false;
  readonly #admission: RequestAdmission;

  readonly now = (): Instant => performance.now();

  readonly queues = new RequestQueues({
    ...{ now: this.now, registry: this.#registry, work: this.#averageWork },
    countGateways: () => this.#gateways.length,
    getTopRank: (service) => this.#topRanks.get(service),
  });

  private constructor(options: GatewayOptions, server: Server) {
    this.#options = options;
    this.#dialect = options.dialect;
    this.#droppedRequestHeaders = new Set([
      options.dialect.deadline,
      options.dialect.expectInstance,
      'content-length',
      'expect',
    ]);
    this.#gateways = [options.id];
    this.#callers = new CallerConnections(this.now, options.dialect.requestId);
    this.buffers = new BufferBudget(
      computeBufferLimit(options.memory),
      (isRefusing, { requests, answers }) => {
        const change = isRefusing
          ? 'requests are refused for lack of memory'
          : 'memory has room again';
        log.warn(change, {
          requests,
          answers,
          limit: this.buffers.limit,
          refused: this.buffers.refused,
        });
      },
    );
    this.#collector = createCollector(this.buffers);
    const heapBytes = getHeapStatistics().heap_size_limit;
    const problem = findMemoryProblem(options.memory, heapBytes, MAX_RESPONSE_BYTES);
    if (problem !== undefined) log.warn('the memory is too small', { reason: problem });
    this.#pool = new ConnectionPool(options.dialect, this.buffers);
    const freshFor = options.maxStateAge ?? DEFAULT_FRESH_FOR;
    this.#follower = (options.follow ?? createFollower)({
      freshFor,
      mesh: options.mesh,
      seeds: options.seeds,
      now: this.now,
      describeSelf: () => this.#describeSelf(),
      collectEvidence: () => this.#evidence.collect(),
      usage: options.usage,
      onChange: (view, change) => {
        this.#applyChange(view, change);
      },
      onCold: (cold) => {
        this.#markColdUpstreams(cold);
      },
      onDependency: (state, member) => {
        log.info(`control member ${state}`, { ...describeState(this.#follower), member });
      },
    });
    this.#admission = new RequestAdmission({
      ...{ follower: this.#follower, now: this.now, dialect: options.dialect, freshFor },
      canServe: () => this.#canServe,
      findRoute: (head) => this.#findRoute(head),
      serve: (admitted, onAnswer) =>
        this.#run(admitted, (answer) => {
          onAnswer(renderFinalAnswer(answer, this.#listIdHeaders(admitted.id)));
        }),
    });
    this.#transport = createTransport({
      listen: options.mesh.address,
      onProblem: (message) => {
        log.warn('gossip error', { reason: message });
      },
    });
    this.hedging = new HedgeTracker(options.maxExtraWork ?? DEFAULT_MAX_EXTRA_WORK);
    this.quarantine = new RequestQuarantine({
      ...{ now: this.now, self: options.id, hasProcessEnded },
      isRunning: (request, fingerprint) => this.#isRunning(request, fingerprint),
      onShare: (evidence, origin) => {
        this.#crashGossip.share(evidence, origin);
      },
      onQuarantine: (fingerprint) => {
        this.#endQuarantined(fingerprint);
      },
    });
    this.#crashGossip = createCrashGossip({
      ...{ transport: this.#transport, now: this.now },
      getPlan: () => this.#gossipPlan,
      getState: () => this.quarantine.state,
      onEvidence: (evidence) => {
        this.quarantine.receive(evidence);
      },
      onSynced: () => {
        this.#startServing();
      },
    });
    this.#loadGossip = createLoadGossip({
      transport: this.#transport,
      now: this.now,
      listRecords: () => this.#registry.records,
      getRecord: (key) => this.#registry.getByKey(key),
      isProber: (record) => this.#prober.isProber(record),
      getPlan: () => this.#gossipPlan,
      getFarInterval: ({ instance }) =>
        Math.min(
          MAX_FAR_INTERVAL,
          this.#averageWork.getShortest(instance.service) * FAR_WORK_RATIO,
        ),
      onReport: (report) => {
        this.#registry.applyReport(report, this.now(), this.#fleetShare);
      },
      linkRate: options.linkRate,
    });
    this.#prober = createProber({
      pool: this.#pool,
      dialect: options.dialect,
      getInterval: (service) => this.#computeProbeInterval(service),
      rate: options.probeRate,
      now: this.now,
      self: options.id,
      listGateways: () => this.#gateways,
      listProbers: (zone) => this.#gatewaysByZone.get(zone) ?? this.#gateways,
      listRecords: () => this.#registry.records,
      onCold: (record, coldFor) => {
        markCold(record, coldFor, this.now(), this.#fleetShare);
      },
      onWarm: finishOutdatedCold,
      onHead: (record, status, headers) => {
        this.#recordTurningAway(record, status, headers);
      },
      onLoad: ({ instance, report }) => {
        this.#registry.addPace(instance.service, report.pace);
      },
      onEnd: (record, outcome) => {
        this.#recordProbe(record, outcome);
      },
    });
    this.#server = server;
    this.#timeoutTimer = setInterval(() => {
      const { headTimeout, idleTimeout } = this.#limits;
      this.#callers.checkTimeouts(headTimeout, idleTimeout);
      this.quarantine.pruneExpired();
    }, SWEEP_INTERVAL);
  }

  static async open(options: GatewayOptions): Promise<RunningGateway> {
    const server = createServer({ allowHalfOpen: true });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ ...parseAddress(options.callerListen), backlog: LISTEN_BACKLOG }, resolve);
    });
    const gateway = new RunningGateway(options, server);
    server.on('connection', (socket: Socket) => {
      gateway.#accept(socket);
    });
    return gateway;
  }

  get isLost(): boolean {
    return this.#follower.age > DEFAULT_FRESH_FOR;
  }

  setSeeds(seeds: readonly Address[]): void {
    this.#follower.setSeeds(seeds);
  }

  get view(): FeedView {
    return this.#follower.view;
  }

  get stateAge(): Duration {
    return this.#follower.age;
  }

  get refusals(): RefusalCounts {
    return this.#admission.refusals;
  }

  get connections(): Readonly<ConnectionCounts> {
    return this.#pool.counts;
  }

  get callers(): CallerCounts {
    return this.#callers;
  }

  get waits(): WaitCounts {
    return this.queues.counts;
  }

  get #fleetShare(): FleetShare {
    const { id, coldBounds } = this.#options;
    return { self: id, gateways: this.#gateways, bounds: coldBounds };
  }

  isReady(): boolean {
    return !this.isStopping() && this.#canServe && !this.#admission.stateWatch.isRefusing;
  }

  /** Whether the gateway knows the routes, and which requests crash upstreams. */
  get #canServe(): boolean {
    return this.#catalog?.table !== undefined && this.#crashGossip.isSynced;
  }

  isStopping(): boolean {
    return this.#stopPlan !== undefined;
  }

  listAddresses(zone: ZoneId): readonly Address[] {
    if (this.#admission.stateWatch.isRefusing) return [];
    return listCallerAddresses(this.#entries, zone, Math.random());
  }

  #describeSelf(): EntryRecord {
    const { id, zone, capacity, callerListen, mesh } = this.#options;
    return {
      id,
      zone,
      capacity,
      callerAddress: callerListen,
      peerAddress: mesh.address,
      ready: this.isReady(),
    };
  }

  #applyChange({ catalog, entries }: FeedView, change: FeedChange): void {
    if (change.kind === 'fleet') {
      this.#entries = entries;
      const ids = entries.map(({ id }) => id);
      this.#gateways = ids.includes(this.#options.id) ? ids : [...ids, this.#options.id].sort();
      this.#gatewaysByZone = listByZone(entries);
      const { address } = this.#options.mesh;
      this.#gossipPlan = planGossip(address, this.#options.zone, entries);
      const peers = entries.map(({ peerAddress }) => peerAddress);
      this.#crashGossip.setPeers(peers.filter((peer) => peer !== address));
      const now = this.now();
      const share = this.#fleetShare;
      this.#registry.records.forEach((record) => {
        renewSlot(record, now, share);
      });
      return;
    }
    this.#isCatchingUp = this.#catalog === undefined;
    const previousZonesOut = this.#catalog?.zonesOut ?? [];
    if (catalog.table !== this.#catalog?.table) this.#applyTable(catalog);
    this.#catalog = catalog;
    const commands = change.kind === 'commands' ? change.commands : undefined;
    this.#registry.update(catalog, commands).forEach((address) => {
      this.#pool.dropAddress(address);
    });
    previousZonesOut
      .filter((zone) => !catalog.zonesOut.includes(zone))
      .forEach((zone) => {
        this.#registry.markZoneCold(zone, this.now(), this.#fleetShare);
      });
    commands?.forEach((command) => {
      if (command.kind === 'announce')
        this.#markColdUpstreams({ [command.instance.id]: command.coldFor });
      if (command.kind === 'chill') this.#markColdUpstreams({ [command.id]: command.coldFor });
    });
    log.info('catalog changed', {
      ...describeState(this.#follower),
      change: commands === undefined ? change.kind : describeCommands(commands),
      upstreams: this.#registry.size,
    });
    if (catalog.table === undefined) return;
    this.#crashGossip.waitForSync();
    this.#startServing();
  }

  /** Reports the gateway as ready and serves the requests that wait for it, once it can serve. */
  #startServing(): void {
    if (!this.#canServe) return;
    if (!this.#isServing) this.#follower.pollNow();
    this.#isServing = true;
    this.#admission.startWaiting();
  }

  #applyTable(catalog: Catalog): void {
    const { table } = catalog;
    this.#routes = buildRouteIndex(table);
    this.#limits = table?.limits ?? INITIAL_LIMITS;
    this.#topRanks = computeTopRanks(table);
    table?.routes.forEach((route) => {
      route.parts.forEach(({ service }) => this.#averageWork.get(service, route));
    });
  }

  #markColdUpstreams(cold: Readonly<Record<string, Duration>>): void {
    const mark = this.#isCatchingUp ? markColdFromLog : markCold;
    Object.entries(cold).forEach(([id, coldFor]) => {
      const record = this.#registry.getRecord(id);
      if (record !== undefined && coldFor > 0) mark(record, coldFor, this.now(), this.#fleetShare);
    });
  }

  #recordProbe(record: UpstreamRecord, outcome: AttemptOutcome): void {
    if (outcome.kind === 'answered' || outcome.kind === 'notRun') return;
    addOutcome(record, outcome, this.now());
  }

  #accept(socket: Socket): void {
    const { headBytes, bodyBytes } = this.#limits;
    this.#callers.add(this, socket, { headBytes, bodyBytes }, this.buffers);
  }

  onClose(connection: CallerConnection): void {
    this.#callers.remove(connection);
  }

  isIdempotent(head: RequestHead): boolean {
    const route = this.#findRoute(head);
    return route !== undefined && isIdempotentKind(route.kind);
  }

  getTimeLimit({ headers }: RequestHead): Duration | undefined {
    const time = Number(getHeader(headers, this.#dialect.deadline));
    return time > 0 ? time : undefined;
  }

  #findRoute({ headers, target }: RequestHead): Route | undefined {
    return matchRoute(this.#routes, getHeader(headers, 'host') ?? '', target);
  }

  renderFault({ status, reason }: RequestFault): CallerAnswer {
    log.info('request refused', { status, reason });
    return buildLocalAnswer(status, reason, []);
  }

  #listIdHeaders(id: string): HeaderList {
    return id === '' ? [] : [[this.#dialect.requestId, id]];
  }

  renderNoRoom({ headers }: RequestHead): CallerAnswer {
    const id = getHeader(headers, this.#dialect.requestId) ?? '';
    return buildLocalAnswer(503, 'not run: noMemory', [
      ...this.#listIdHeaders(id),
      ['Retry-After', String(NO_ROOM_RETRY_AFTER / 1000)],
    ]);
  }

  serve(
    request: CallerRequest,
    onAnswer: (answer: CallerAnswer) => void,
  ): ServedRequest | undefined {
    return this.#admission.admit(request, onAnswer);
  }

  #run(
    admitted: AdmittedRequest,
    onAnswer: (answer: FinalAnswer) => void,
  ): ServedRequest | undefined {
    const { route, request: received } = admitted;
    const splitter = this.#routeSplitters.get(route.name) ?? new WeightedSplitter();
    this.#routeSplitters.set(route.name, splitter);
    const service = splitter.pickPart(route.parts)?.service ?? '';
    const share = this.#registry.getVersionShare(service);
    const version = this.#versionSplitter.pickVersion(service, share);
    const timeLimit = this.getTimeLimit(received.head);
    const request = buildRequest(admitted, { service, version, share, timeLimit });
    if (!this.#canFinish(request)) {
      const refusal: FinalAnswer = { kind: 'refused', cause: 'stopping', retryAfter: 0 };
      this.#recordAnswer(request, refusal);
      onAnswer(refusal);
      return undefined;
    }
    this.#getRetryBudget(service).addRequest(this.#gateways.length);
    this.#requestRates.addRequest(service, this.now());
    return this.#startRun(request, onAnswer);
  }

  #startRun(
    request: GatewayRequest,
    onAnswer: (answer: FinalAnswer) => void,
  ): ServedRequest | undefined {
    const run = new RequestRun(this, request, (answer) => {
      this.#runs.delete(request);
      this.#recordAnswer(request, answer);
      onAnswer(answer);
    });
    if (run.isOver) return undefined;
    this.#runs.set(request, run);
    return {
      cancel: () => {
        this.#runs.delete(request);
        run.cancel();
      },
    };
  }

  /** Whether a request with the fingerprint is being served, other than this one. */
  #isRunning(request: GatewayRequest, fingerprint: string): boolean {
    return [...this.#runs.keys()].some(
      (other) => other !== request && this.quarantine.getFingerprint(other) === fingerprint,
    );
  }

  /** Ends the requests with the fingerprint, so that no upstream begins to run them. */
  #endQuarantined(fingerprint: string): void {
    [...this.#runs]
      .filter(([request]) => this.quarantine.getFingerprint(request) === fingerprint)
      .forEach(([, run]) => {
        run.handleQuarantine();
      });
  }

  isAllowed(request: GatewayRequest): boolean {
    return this.#admission.isStillAllowed(request);
  }

  getQuarantineTime(request: GatewayRequest): Duration {
    return Math.max(0, this.quarantine.getRefusedUntil(request) - this.now());
  }

  isSuspected(request: GatewayRequest): boolean {
    return this.quarantine.isSuspected(request);
  }

  waitForCrashCheck(request: GatewayRequest, record: UpstreamRecord, onEnd: () => void): void {
    this.quarantine.waitForCheck(request, record, onEnd);
  }

  #canFinish(request: GatewayRequest): boolean {
    if (this.#stopPlan === undefined) return true;
    const { value: work } = this.#getAverageWork(request);
    const { deadline } = request;
    return isTakenInStop({ plan: this.#stopPlan, now: this.now(), deadline, work });
  }

  #getRetryBudget(service: string): RetryBudget {
    const known = this.#retryBudgets.get(service);
    if (known !== undefined) return known;
    const budget = new RetryBudget(this.#options.retryBounds);
    this.#retryBudgets.set(service, budget);
    return budget;
  }

  #getAverageWork({ route, service }: GatewayRequest): MovingAverage {
    return this.#averageWork.get(service, route);
  }

  #computeProbeInterval(service: string): Duration {
    const upstreams = this.#registry.listUsable(service, undefined).length;
    const share = this.#gateways.length / Math.max(1, upstreams);
    const rate = this.#requestRates.getFleetRate(service, this.now(), share);
    return computeProbeInterval(this.#options.probeInterval, rate);
  }

  takeRetry(service: string): boolean {
    return this.#getRetryBudget(service).takeRetry();
  }

  hasRoomForHedge(record: UpstreamRecord): boolean {
    return hasFreeSlot(record) && !this.queues.isShort(record.instance.service);
  }

  choose(
    request: GatewayRequest,
    tried: readonly UpstreamRecord[],
    justProbed: readonly UpstreamRecord[],
  ): Choice {
    if (this.#admission.stateWatch.isOutdated) return { kind: 'stale' };
    const { route, rank, service, version, deadline } = request;
    const now = this.now();
    const usable = this.#registry.listUsable(
      service,
      resolveVersion(version, this.#registry.getVersionShare(service)),
    );
    const untried = usable.filter((record) => !tried.includes(record));
    const topRank = this.#topRanks.get(service) ?? rank;
    return chooseUpstream(untried, {
      now,
      work: this.#getAverageWork(request).value,
      timeLeft: deadline - now,
      targetTime: this.queues.computeTargetTime(request),
      justProbed,
      canProbe: this.#prober.canProbeService(service),
      hasConnection: ({ instance }) => this.#pool.hasIdleConnection(instance.address),
      zone: this.#options.zone,
      isLarge: isLargeKind(route.kind),
      deadlineShare: Math.max(0.3, MAX_DEADLINE_SHARE - (rank - topRank) * DEADLINE_SHARE_STEP),
      getFleetRate: () => this.#requestRates.getFleetRate(service, now, this.#gateways.length),
      isRepeatable: isIdempotentKind(route.kind),
      random: Math.random(),
    });
  }

  isProbeDue(request: GatewayRequest, record: UpstreamRecord): boolean {
    const now = this.now();
    // A cold upstream can handle few requests, and a probe may count as one of them.
    if (record.coldUntil > now || !this.#prober.canProbeOnDemand(record)) return false;
    const excess = this.#registry.getExcessPace(request.service);
    return isProbeWorthwhile(this.#getAverageWork(request).value, excess, now - record.reportedAt);
  }

  probeOnDemand(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void {
    this.#prober.probeOnDemand(record, onEnd);
  }

  send(
    request: GatewayRequest,
    record: UpstreamRecord,
    onEnd: (outcome: AttemptOutcome) => void,
  ): Attempt {
    const now = this.now();
    const { id, address } = record.instance;
    const timeLeft = Math.max(1, Math.floor(request.deadline - now));
    const headers: HeaderList = [
      ...listForwardableHeaders(request.headers, this.#droppedRequestHeaders),
      [this.#dialect.deadline, String(timeLeft)],
      [this.#dialect.expectInstance, id],
      ...(request.hasBody ? [['Content-Length', String(request.body.length)] as const] : []),
    ];
    if (isRateShared(record, now)) claimSlot(record, now, this.#fleetShare);
    record.inFlight += 1;
    record.inFlightChange += 1;
    record.lastSentAt = now;
    this.#watchOverdue(request, record);
    const { method, target, body } = request;
    return this.#pool.send(
      address,
      { id: request.id, method, target, headers, body },
      {
        onEnd,
        onHead: (responseHeaders, status) => {
          recordLoad(record, responseHeaders, this.#dialect, this.now());
          this.#recordLimit(record, responseHeaders, status);
          this.#recordTurningAway(record, status, responseHeaders);
        },
      },
    );
  }

  #recordTurningAway(record: UpstreamRecord, status: number, headers: HeaderList): void {
    const now = this.now();
    const before = isTurningAway(record, now);
    recordTurningAway(record, { status, headers }, this.#dialect, now);
    if (before || !isTurningAway(record, now)) return;
    log.info('upstream takes no requests', {
      upstream: record.instance.id,
      reason: record.isLeaving ? 'it is leaving' : 'it named a time to come back',
      forMs: record.isLeaving ? 0 : Math.round(record.retryAfter - now),
    });
  }

  /** Records the limit that an answer names. Only an answer of success ends a limit by naming none. */
  #recordLimit(record: UpstreamRecord, headers: HeaderList, status: number): void {
    const limit = parseLimit(getHeader(headers, this.#dialect.limit));
    if (limit === undefined && status >= 400) return;
    const now = this.now();
    if (limit !== record.limit) {
      log.info('upstream limit changed', { upstream: record.instance.id, limit: limit ?? 'none' });
    }
    addLimit(record, limit, now, now, this.#fleetShare);
  }

  recordAttempt(
    request: GatewayRequest,
    { record, sentAt, slowdown }: SentAttempt,
    outcome: AttemptOutcome | undefined,
  ): void {
    const now = this.now();
    record.inFlight -= 1;
    record.inFlightChange -= 1;
    const pace = computePace(record, now);
    const latency = (now - sentAt) / pace;
    this.#countOutcome(request, record, now - sentAt, outcome);
    this.#options.usage?.countAttempt(request.account, now - sentAt, outcome);
    this.#recordSurvival(request, record, outcome);
    const isGood = outcome?.kind === 'answered' && outcome.answer.status < 500;
    // After its deadline an answer was read late, as in a process that stood still, and tells no work.
    if (isGood && now <= request.deadline)
      this.#getAverageWork(request).addSample((now - sentAt) / slowdown);
    this.queues.recordEnd(request, outcome);
    const wasOverdue = this.#overdue.end(request, record);
    const finding = judgeAttempt({
      outcome,
      elapsed: now - sentAt,
      expected: this.#getAverageWork(request).value * pace,
      timeLeft: request.deadline - now,
    });
    if (finding === undefined || (wasOverdue && finding === 'good')) return;
    this.#addEvidence(request, record, { failed: finding === 'failed', latency });
  }

  /** Adds evidence on a service with a version move in progress; evidence against the new version is sent soon. */
  #addEvidence(
    request: GatewayRequest,
    { instance }: UpstreamRecord,
    { failed, latency }: Pick<Sample, 'failed' | 'latency'>,
    isOverdue = false,
  ): void {
    const { next } = this.#registry.getVersionShare(request.service);
    if (next === undefined) return;
    const { service, version, id } = instance;
    const route = request.route.name;
    this.#evidence.addAttempt({ service, version, route, upstream: id, failed, latency });
    if (version !== next || !(failed || isOverdue)) return;
    this.#evidenceTimer ??= setTimeout(() => {
      this.#evidenceTimer = undefined;
      this.#follower.pollNow();
    }, EVIDENCE_DELAY);
  }

  #watchOverdue(request: GatewayRequest, record: UpstreamRecord): void {
    if (this.#registry.getVersionShare(request.service).next === undefined) return;
    const latency = this.#getAverageWork(request).value * SLOW_RATIO;
    const time = latency * computePace(record, this.now());
    this.#overdue.start(request, record, time, () => {
      this.#addEvidence(request, record, { failed: false, latency }, true);
    });
  }

  /** Records whether the upstream may have crashed under the request. One that crashes may end an unframed answer. */
  #recordSurvival(
    request: GatewayRequest,
    record: UpstreamRecord,
    outcome: AttemptOutcome | undefined,
  ): void {
    if (outcome?.kind === 'lost' && outcome.isDisconnected)
      this.quarantine.addLoss(request, record);
    if (outcome?.kind === 'answered' && !outcome.answer.isUnframed)
      this.quarantine.addSuccess(request);
  }

  /** Counts the outcome of an attempt; one cancelled long after its expected end counts as lost. */
  #countOutcome(
    request: GatewayRequest,
    record: UpstreamRecord,
    elapsed: Duration,
    outcome: AttemptOutcome | undefined,
  ): void {
    const now = this.now();
    if (now > request.deadline + MAX_TIMER_DELAY) return;
    const expected = this.#getAverageWork(request).value * computePace(record, now);
    const { limit } = record.losses.state;
    if (outcome !== undefined) addOutcome(record, outcome, now);
    else if (elapsed > expected * OVERDUE_RATIO) {
      addOutcome(record, { kind: 'lost', reason: 'no answer in time', isDisconnected: false }, now);
    }
    if (record.losses.state.limit === limit) return;
    const { service } = record.instance;
    log.info('upstreams reset when full', { service, waiting: record.losses.state.limit ?? 0 });
  }

  recordDecision(
    request: GatewayRequest,
    decision: string,
    record: UpstreamRecord | undefined,
    reason: string,
  ): void {
    const { index: catalogIndex, version, stateAgeMs, member } = describeState(this.#follower);
    log.info(decision, {
      id: request.id,
      route: request.route.name,
      service: request.service,
      upstream: record?.instance.id ?? '',
      reason,
      elapsedMs: Math.round(this.now() - request.arrivedAt),
      leftMs: Math.round(request.deadline - this.now()),
      ...{ catalogIndex, version, stateAgeMs, member },
    });
  }

  #recordAnswer(request: GatewayRequest, answer: FinalAnswer): void {
    const latency = this.now() - request.arrivedAt;
    const outcome = answer.kind === 'upstream' ? String(answer.answer.status) : answer.cause;
    this.#options.recordCall(request.service, outcome, latency);
    switch (answer.kind) {
      case 'upstream':
        return;
      case 'refused':
      case 'failed':
        if (answer.cause === 'overloaded') this.hedging.recordShortage(request.service, this.now());
        if (answer.cause === 'stale') this.#admission.stateWatch.recordRefusal();
        this.recordDecision(request, answer.kind, undefined, answer.cause);
        return;
    }
  }

  get rejectingUpstreams(): number {
    return this.#registry.records.filter((record) => isRejecting(record, this.now())).length;
  }

  async stop(signalledAt: Instant): Promise<void> {
    if (this.isStopping()) return;
    const plan = buildStopPlan(this.now(), this.#options.stopTime, signalledAt);
    this.#stopPlan = plan;
    this.queues.close();
    this.#callers.logState('gateway drain started');
    this.#follower.pollNow();
    await wait(plan.acceptsUntil - this.now());
    this.#server.close();
    await this.#callers.drain(plan);
    clearInterval(this.#timeoutTimer);
    clearTimeout(this.#evidenceTimer);
    this.#collector.close();
    this.#prober.close();
    this.#loadGossip.close();
    this.#crashGossip.close();
    this.#transport.close();
    this.#admission.close();
    this.#options.usage?.flush();
    this.#follower.pollNow();
    this.#follower.close();
    this.#pool.close();
  }
}

/** Maximum length of the queue of connections waiting to be accepted. */
const LISTEN_BACKLOG = 511;

/**
 * Starts listening for callers and following the control members' feed.
 *
 * @example
 * const gateway = await openGateway({ id: 'gw-1', zone: 'cyberjaya', callerListen: '10.0.1.4:8080', ... });
 * gateway.isReady(); // false until the first route table has arrived
 */
export function openGateway(options: GatewayOptions): Promise<Gateway> {
  return RunningGateway.open(options);
}
