/**
 * The soak test: runs the programs as separate processes, injects the faults of a seed from outside, and checks
 * the guarantees of docs/PLATFORM.md against what callers, upstreams and operators observe.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  pickRotation,
  Site,
  waitUntil,
  type HttpResponse,
  type ReceivedRequest,
  type Upstream,
} from '../platform/site.js';
import { Caller, type RequestResult } from './callers.js';
import {
  CATCH_UP_TIME,
  planFaults,
  planReplacements,
  planStrayAnswers,
  type Fault,
  type PlannedFault,
  type Replacement,
} from './faults.js';
import { Link, type LinkFault } from './proxy.js';
import { CONFIG_BOUND, RouteWatch } from './routes.js';

/** The result of one run. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  /** Requests that were answered with status 200. */
  readonly answered: number;
  readonly requests: number;
  /** Descriptions of the guarantees that were broken. */
  readonly violations: readonly string[];
  /** The last part of the output of each process, for the diagnosis of violations. */
  readonly output: string;
}

/** Interval in which processes were down, paused or restarting; `until` is Infinity while it lasts. */
interface Disturbance {
  readonly names: readonly string[];
  readonly from: number;
  until: number;
}

/** An upstream whose "draining" was acknowledged. */
interface DrainedUpstream {
  readonly upstream: Upstream;
  readonly acknowledgedAt: number;
}

/** The evacuation of a zone; `until` is Infinity until it is ended. */
interface Evacuation {
  readonly zone: string;
  readonly acknowledgedAt: number;
  until: number;
}

/** Milliseconds after a process fault in which guarantees with a time bound are not checked. */
const STABILIZATION_TIME = 3000;
/** Milliseconds after an acknowledged "draining" in which the upstream may still receive requests. */
const DRAIN_BOUND = 2000;
/** Milliseconds after an acknowledged evacuation in which the zone may still receive requests. */
const EVACUATE_BOUND = 5000;
/** Milliseconds within which a change must be acknowledged while one steward at most is lost. */
const ACKNOWLEDGE_BOUND = 10_000;
/** Milliseconds after which a change that isn't acknowledged is given up. */
const ACKNOWLEDGE_LIMIT = 30_000;
/** Milliseconds for which a run goes on undisturbed after a series of replacements. */
const CALM_TIME = 3000;
/** Upstreams of one service that may drain: the others must carry its requests. */
const MAX_DRAINING = 2;
/** Milliseconds after the last fault within which all gateways must serve callers again. */
const RECOVERY_BOUND = 15_000;
/** Milliseconds after which an upstream that crashed is back. */
const UPSTREAM_RESTART_TIME = 1500;
/** Maximum number of upstreams that one request that crashes them may end. */
const MAX_CRASHES = 8;
/** Maximum number of its sendings that may reach an upstream later than {@link STABILIZATION_TIME} after the third. */
const MAX_LATE_SENDINGS = 3;
/** Milliseconds to wait, after the callers have stopped, for late requests to reach upstreams. */
const SETTLE_TIME = 1500;
/** Requests, sent at once to a gateway, that must all be answered with 200 before it counts as serving. */
const RECOVERY_REQUESTS = 10;
/** Statuses that guarantee that the request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const safeRoute = {
  ...{ name: 'r-safe', path_prefix: '/records/', kind: 'safe', timeout: '800ms' },
  ...{ target_latency: '200ms', priority: 2, service: 'records', max_attempts: 2 },
};
/** Routes that a run adds lead to the service that no request crashes. */
const addedRoute = { ...safeRoute, service: 'orders' };
const unsafeRoute = {
  ...safeRoute,
  ...{ name: 'r-unsafe', path_prefix: '/orders/', kind: 'unsafe', priority: 1, service: 'orders' },
};

const uploadRoute = { ...unsafeRoute, name: 'r-upload', path_prefix: '/uploads/', kind: 'upload' };

/** One run of the soak test. */
class SoakRun {
  readonly #seed: number;
  readonly #site: Site;
  readonly #callers: readonly Caller[];
  readonly #links: Link[];
  /** Number of requests that crash upstreams so far. */
  #crashingRequests = 0;
  /** Upstreams that are being started again. */
  readonly #restarts = new Set<Promise<void>>();
  /** Intervals in which time-bound guarantees may be broken. */
  readonly #disturbances: Disturbance[] = [];
  readonly #drained: DrainedUpstream[] = [];
  readonly #evacuations: Evacuation[] = [];
  readonly #violations: string[] = [];
  readonly #routes: RouteWatch;
  /** Prefixes of the routes that were added. */
  readonly #addedPrefixes: string[] = [];
  /** Acknowledged configurations, oldest first; `at` is the time of the acknowledgement. */
  readonly #acknowledged: (readonly [version: number, at: number])[] = [];
  /** Settles when the queued faults of stewards are done. */
  #stewardFaults: Promise<void> = Promise.resolve();
  /** Names of the stewards, by their place in the group; one that is replaced gives its place to its successor. */
  #stewards: readonly string[] = ['steward-1', 'steward-2', 'steward-3'];
  /** What runs beside the replacements of stewards. */
  readonly #besides: Promise<void>[] = [];
  /** When all stewards have had {@link CATCH_UP_TIME} since the last fault of one. */
  #settledAt = performance.now() + CATCH_UP_TIME;
  /** When the last fault ended that may have left two or more stewards lost at a time. */
  #toleratedFrom = -Infinity;
  /** Settles when the queued changes of the configuration are done. */
  #changes: Promise<void> = Promise.resolve();
  /** Settles when the queued evacuations are done. */
  #evacuating: Promise<void> = Promise.resolve();
  #isReading = true;

  private constructor(seed: number, site: Site, links: readonly Link[]) {
    this.#seed = seed;
    this.#site = site;
    this.#links = [...links];
    this.#routes = new RouteWatch(
      site,
      site.ips.map((ip, vm) => ({
        ip,
        findCalmTime: () => this.#findCalmTime(`gateway-${vm + 1}`),
      })),
    );
    site.upstreams.forEach((upstream, index) => {
      this.#watchCrash(upstream, index);
    });
    this.#callers = [...site.zones, ...site.zones].map((zone) => new Caller(site, zone));
  }

  static async open(seed: number): Promise<SoakRun> {
    const site = await Site.start();
    const placements = site.zones.flatMap((_, at) =>
      [
        ['records', at, 1],
        ['records', at, 3],
        ['orders', at, 2],
        ['orders', at, 4],
      ].map(([service, vm, number]) => [String(service), Number(vm), Number(number)] as const),
    );
    const upstreams = await Promise.all(
      placements.map(([service, at, number]) => site.addUpstream(service, at, number)),
    );
    const links = await Promise.all(
      upstreams.map(async (upstream) => {
        const target = upstream.address;
        const link = await Link.open(target.replace(':8080', ':8081'), target);
        upstream.announcedAddress = target.replace(':8080', ':8081');
        return link;
      }),
    );
    const soak = new SoakRun(seed, site, links);
    await soak.#changeRoutes();
    await soak.#waitUntilServed('start');
    return soak;
  }

  async run(duration: number, hasReplacements: boolean): Promise<SoakReport> {
    const sizes = [this.#site.ips.length, this.#links.length] as const;
    const faults = [
      ...planFaults(this.#seed, duration, ...sizes),
      ...(hasReplacements ? [planReplacements(this.#seed, duration, ...sizes)] : []),
      ...(hasReplacements ? planStrayAnswers(this.#seed, duration, sizes[1]) : []),
    ];
    this.#callers.forEach((caller) => {
      caller.start();
    });
    const reading = this.#readConfigurations();
    const startedAt = performance.now();
    await Promise.all(
      faults.map(async ({ at, fault }) => {
        await sleep(Math.max(0, startedAt + at - performance.now()));
        await this.#inject(fault);
      }),
    );
    await Promise.all([this.#stewardFaults, ...this.#besides]);
    await Promise.all([this.#changes, this.#evacuating, ...this.#restarts]);
    this.#links.forEach((link) => {
      link.setFault({ kind: 'none' });
    });
    await this.#waitUntilServed('the faults are over');
    if (hasReplacements) await this.#checkCalm();
    await this.#losePower();
    await this.#routes.stop();
    this.#isReading = false;
    await reading;
    await Promise.all(this.#callers.map((caller) => caller.stop()));
    await sleep(SETTLE_TIME);
    await this.#checkReadBack();
    this.#checkResults();
    this.#checkArrivals();
    this.#checkCrashes();
    const results = this.#callers.flatMap(({ results: seen }) => seen);
    return {
      seed: this.#seed,
      faults,
      answered: results.filter(({ status }) => status === 200).length,
      requests: results.length,
      violations: [...this.#violations, ...this.#routes.violations],
      output: [...this.#site.processes]
        .map(([name, { output }]) => `== ${name}\n${output.slice(-8000)}`)
        .join('\n'),
    };
  }

  async close(): Promise<void> {
    this.#isReading = false;
    await Promise.all([this.#routes.stop(), ...this.#callers.map((caller) => caller.stop())]);
    this.#links.forEach((link) => {
      link.close();
    });
    await this.#site.stop();
  }

  async #inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'killGateway':
        return this.#restart([`gateway-${fault.vm + 1}`], 'SIGKILL', false);
      case 'stopGateway':
        return this.#restart([`gateway-${fault.vm + 1}`], 'SIGTERM', false);
      case 'pauseGateway':
        return this.#pause(`gateway-${fault.vm + 1}`, fault.ms);
      case 'killSteward':
        return this.#queueStewardFault(() =>
          this.#restart([this.#findSteward(fault.vm)], 'SIGKILL', false),
        );
      case 'wipeSteward':
        return this.#queueDiskLoss(0, () => this.#wipe(fault.vm, 0));
      case 'pauseSteward':
        return this.#queueStewardFault(() => this.#pause(this.#findSteward(fault.vm), fault.ms));
      case 'killAllStewards':
        return this.#queueStewardFault(async () => {
          await this.#restart(this.#stewards, 'SIGKILL', false);
          this.#toleratedFrom = performance.now();
        });
      case 'replaceStewards':
        return fault.replacements.reduce<Promise<void>>(
          (before, replacement) =>
            before.then(() =>
              this.#queueDiskLoss(replacement.wait, () => this.#replace(replacement)),
            ),
          Promise.resolve(),
        );
      case 'misbehave': {
        const upstream = this.#findUpstream(fault.upstream);
        if (upstream === undefined) return;
        upstream.behaviour = fault.how;
        await sleep(fault.ms);
        upstream.behaviour = 'serve';
        return;
      }
      case 'resetLink':
        this.#links[fault.upstream]?.resetAll();
        return;
      case 'delayLink':
        return this.#injectLinkFault(
          fault.upstream,
          { kind: 'delay', ms: fault.ms },
          fault.ms * 10,
        );
      case 'silenceLink':
        return this.#injectLinkFault(fault.upstream, { kind: 'silent' }, fault.ms);
      case 'cutOneWay':
        return this.#injectLinkFault(fault.upstream, { kind: 'oneWay' }, fault.ms);
      case 'drain':
        return this.#drain(fault.upstream);
      case 'changeRoutes':
        return this.#changeRoutes();
      case 'zoneOut':
        return this.#evacuateZone(fault.vm, fault.ms);
      case 'crashingRequest':
        return this.#sendCrashing(fault.rate, fault.ms);
    }
  }

  /** Closes the link of an upstream that crashes, and starts both again after a time. */
  #watchCrash(upstream: Upstream, index: number): void {
    upstream.onCrash = () => {
      this.#links[index]?.close();
      const restart = sleep(UPSTREAM_RESTART_TIME).then(async () => {
        const restarted = await this.#site.restartUpstream(upstream);
        this.#watchCrash(restarted, index);
        this.#links[index] = await Link.open(
          upstream.announcedAddress ?? upstream.address,
          upstream.address,
        );
      });
      this.#restarts.add(restart);
    };
  }

  /** Returns the upstream behind a link, as it was last started. */
  #findUpstream(index: number): Upstream | undefined {
    const address = this.#site.upstreams[index]?.address;
    return this.#site.upstreams.findLast((upstream) => upstream.address === address);
  }

  async #sendCrashing(rate: number, ms: number): Promise<void> {
    this.#crashingRequests += 1;
    const path = `/records/crash/${this.#crashingRequests}`;
    const until = performance.now() + ms;
    while (performance.now() < until) {
      const [ip = ''] = this.#site.shuffleIps();
      void this.#site.call(ip, path).catch(() => undefined);
      await sleep(1000 / rate);
    }
  }

  /** Returns the name of the steward in a place of the group, as it was last replaced. */
  #findSteward(place: number): string {
    return this.#stewards[place] ?? '';
  }

  /**
   * Runs faults of stewards one after another, because the site tolerates the loss of only one of three. A fault soon
   * after another may leave two of them lost for a moment, but loses no disk.
   */
  #queueStewardFault(act: () => Promise<void>): Promise<void> {
    this.#stewardFaults = this.#stewardFaults.then(async () => {
      const isTolerated = performance.now() >= this.#settledAt;
      await act();
      const endedAt = performance.now();
      this.#settledAt = endedAt + CATCH_UP_TIME;
      if (!isTolerated) this.#toleratedFrom = endedAt;
    });
    return this.#stewardFaults;
  }

  /**
   * Runs a fault in which a steward loses its disk, `wait` milliseconds after all stewards have had the time to catch
   * up, and gives its successor the same time. The action returns when the successor was started. Only time is waited
   * for: whether the group is complete by then is part of the test.
   */
  #queueDiskLoss(wait: number, act: () => Promise<number>): Promise<void> {
    this.#stewardFaults = this.#stewardFaults.then(async () => {
      await waitForTime(this.#settledAt + wait);
      this.#settledAt = (await act()) + CATCH_UP_TIME;
      await waitForTime(this.#settledAt);
    });
    return this.#stewardFaults;
  }

  /** Runs an action and records its duration as a disturbance. */
  async #recordDisturbance(names: readonly string[], act: () => Promise<void>): Promise<void> {
    const span: Disturbance = { names, from: performance.now(), until: Infinity };
    this.#disturbances.push(span);
    await act();
    span.until = performance.now();
  }

  #restart(
    names: readonly string[],
    signal: NodeJS.Signals,
    losesDisk: boolean,
    gap = 0,
  ): Promise<void> {
    return this.#recordDisturbance(names, async () => {
      await Promise.all(names.map((name) => this.#site.endProcess(name, signal)));
      await sleep(gap);
      await Promise.all(names.map((name) => this.#site.restartProcess(name, losesDisk)));
    });
  }

  /** Restarts a steward with an empty disk. */
  async #wipe(place: number, gap: number): Promise<number> {
    await this.#restart([this.#findSteward(place)], 'SIGKILL', true, gap);
    return performance.now();
  }

  /** Replaces a steward, while a gateway is paused, routes change and an upstream drains. */
  async #replace(replacement: Replacement): Promise<number> {
    const { way, vm, gap, gateway, pause, changeAfter, drained } = replacement;
    this.#besides.push(
      this.#pause(`gateway-${gateway + 1}`, pause),
      sleep(changeAfter).then(() => this.#changeRoutes(true)),
      ...(drained === undefined ? [] : [this.#drain(drained)]),
    );
    const name = this.#findSteward(vm);
    switch (way) {
      case 'wiped':
        return this.#wipe(vm, gap);
      case 'killed':
        await this.#recordDisturbance([name], async () => {
          await this.#site.endProcess(name, 'SIGKILL');
          await sleep(gap);
          await this.#addSteward(vm);
        });
        return performance.now();
      case 'planned': {
        await this.#addSteward(vm);
        const startedAt = performance.now();
        await sleep(gap);
        await this.#recordDisturbance([name], () => this.#site.endProcess(name, 'SIGTERM'));
        return startedAt;
      }
    }
  }

  /**
   * Ends the run as a day may end: all processes are killed at once, and as many stewards lose their disks as the group bears:
   * one of three or, with an odd seed, two of four.
   */
  async #losePower(): Promise<void> {
    await waitForTime(this.#settledAt);
    if (this.#seed % 2 === 1) {
      this.#stewards = [...this.#stewards, await this.#site.addSteward()];
      await sleep(CATCH_UP_TIME);
    }
    const running = [...this.#site.processes].filter(
      ([, { child }]) => child.exitCode === null && child.signalCode === null,
    );
    const names = running.map(([name]) => name);
    const first = this.#seed % this.#stewards.length;
    const lost = [...this.#stewards.slice(first), ...this.#stewards.slice(0, first)].slice(
      0,
      Math.floor(this.#stewards.length / 2),
    );
    await this.#recordDisturbance(names, async () => {
      await Promise.all(names.map((name) => this.#site.endProcess(name, 'SIGKILL')));
      await Promise.all(names.map((name) => this.#site.restartProcess(name, lost.includes(name))));
    });
    await this.#waitUntilServed('all processes were killed and disks were lost');
  }

  /** Starts a steward on a new VM, which takes a place in the group and in the operators' list. */
  async #addSteward(place: number): Promise<void> {
    const name = await this.#site.addSteward();
    this.#stewards = this.#stewards.with(place, name);
    this.#site.controlIps = this.#stewards.map((steward) => this.#site.getProcess(steward).ip);
  }

  #pause(name: string, ms: number): Promise<void> {
    return this.#recordDisturbance([name], async () => {
      const child = this.#site.processes.get(name)?.child;
      child?.kill('SIGSTOP');
      await sleep(ms);
      child?.kill('SIGCONT');
    });
  }

  async #injectLinkFault(at: number, fault: LinkFault, ms: number): Promise<void> {
    const link = this.#links[at];
    if (link === undefined) return;
    link.setFault(fault);
    await sleep(ms);
    link.setFault({ kind: 'none' });
  }

  /** Drains the upstream, unless {@link MAX_DRAINING} of its service drain already. */
  async #drain(at: number): Promise<void> {
    const upstream = this.#findUpstream(at);
    const draining = this.#site.upstreams.filter(
      ({ service, state }) => service === upstream?.service && state === 'draining',
    );
    if (upstream === undefined || draining.length >= MAX_DRAINING || draining.includes(upstream)) {
      return;
    }
    upstream.state = 'draining';
    const isAcknowledged = await this.#acknowledge('"draining"', () =>
      upstream.sendHeartbeat(pickRotation(this.#site.controlIps)),
    );
    if (isAcknowledged) this.#drained.push({ upstream, acknowledgedAt: performance.now() });
  }

  /**
   * Sends a change until it is acknowledged, and reports a violation if that takes longer than
   * {@link ACKNOWLEDGE_BOUND} while one steward at most is lost.
   */
  async #acknowledge(what: string, send: () => Promise<boolean>): Promise<boolean> {
    const sentAt = performance.now();
    const problem = await waitUntil(`${what} is acknowledged`, send, ACKNOWLEDGE_LIMIT).then(
      () => undefined,
      (error: unknown) => String(error),
    );
    const late = Math.round(performance.now() - Math.max(sentAt, this.#toleratedFrom));
    if (problem !== undefined || late > ACKNOWLEDGE_BOUND) {
      const end = problem ?? `${what} was acknowledged late`;
      this.#violations.push(`${end}, after ${late} ms with one steward lost at most`);
    }
    return problem === undefined;
  }

  /** Changes the configuration, with one more route if one is added. */
  #changeRoutes(addsRoute = false): Promise<void> {
    this.#changes = this.#changes.then(async () => {
      const added = [...this.#addedPrefixes];
      if (addsRoute) added.push(`/added/${added.length + 1}/`);
      const timeout = `${800 + (this.#site.version % 5) * 10}ms`;
      const routes = added.map((path_prefix, index) => ({
        ...addedRoute,
        ...{ name: `r-added-${index + 1}`, path_prefix },
      }));
      const isAcknowledged = await this.#acknowledge('a configuration', async () => {
        const answer = await this.#site
          .putRoutes([{ ...safeRoute, timeout }, unsafeRoute, uploadRoute, ...routes])
          .catch((): undefined => undefined);
        if (answer === undefined || answer.status === 200) return answer !== undefined;
        throw new Error(`a valid configuration was refused: ${answer.status} ${answer.body}`);
      });
      if (!isAcknowledged) return;
      const at = performance.now();
      this.#acknowledged.push([this.#site.version, at]);
      added.slice(this.#addedPrefixes.length).forEach((prefix) => {
        this.#addedPrefixes.push(prefix);
        this.#routes.add(`${prefix}1`, at);
      });
    });
    return this.#changes;
  }

  #evacuateZone(vm: number, ms: number): Promise<void> {
    const zone = this.#site.zones[vm] ?? '';
    this.#evacuating = this.#evacuating.then(async () => {
      await this.#site.sendOrder({ method: 'POST', path: `/-/Evacuation.Start/${zone}` });
      const span: Evacuation = { zone, acknowledgedAt: performance.now(), until: Infinity };
      this.#evacuations.push(span);
      await sleep(EVACUATE_BOUND + ms);
      span.until = performance.now();
      await this.#site.sendOrder({ method: 'POST', path: `/-/Evacuation.End/${zone}` });
    });
    return this.#evacuating;
  }

  /** Reads the configuration periodically and checks that no read misses one acknowledged CONFIG_BOUND earlier. */
  async #readConfigurations(): Promise<void> {
    let attempt = 0;
    while (this.#isReading) {
      const requestedAt = performance.now();
      attempt += 1;
      const read = await this.#site
        .readConfiguration(attempt)
        .catch((): HttpResponse | undefined => undefined);
      if (read?.status === 200) this.#checkRead(read, requestedAt);
      await sleep(150);
    }
  }

  #checkRead({ body }: HttpResponse, requestedAt: number): void {
    const { version } = JSON.parse(body) as { version: number };
    const minVersion =
      this.#acknowledged.filter(([, at]) => at + CONFIG_BOUND < requestedAt).at(-1)?.[0] ?? 0;
    if (version < minVersion) {
      this.#violations.push(
        `read configuration ${version} although ${minVersion} was acknowledged`,
      );
    }
  }

  /** Checks that the configuration read at the end is the last one acknowledged. */
  async #checkReadBack(): Promise<void> {
    const read = await this.#site.sendOrder({ path: '/-/Config.Get' });
    const { version } = JSON.parse(read.body) as { version: number };
    const newest = this.#acknowledged.at(-1)?.[0] ?? 0;
    if (version !== newest) {
      this.#violations.push(
        `the configuration reads back as version ${version}, but ${newest} was the last acknowledged`,
      );
    }
  }

  /** Waits until every gateway serves safe and unsafe requests; reports a violation if one doesn't in time. */
  async #waitUntilServed(event: string): Promise<void> {
    const isServed = async (ip: string): Promise<boolean> => {
      const answers = await Promise.all(
        Array.from({ length: RECOVERY_REQUESTS }, (_, at) =>
          this.#site
            .call(
              ip,
              at % 2 === 0 ? '/records/0' : '/orders/0',
              at % 2 === 0 ? {} : { method: 'POST' },
            )
            .catch((): undefined => undefined),
        ),
      );
      return answers.every((answer) => answer?.status === 200);
    };
    await Promise.all(
      this.#site.ips.map((ip) =>
        waitUntil(`${ip} serves after ${event}`, () => isServed(ip), RECOVERY_BOUND).catch(
          (error: unknown) => this.#violations.push(String(error)),
        ),
      ),
    );
  }

  /** Checks what callers received against the number of times that upstreams ran each request. */
  #checkResults(): void {
    const runCounts = new Map<string, number>();
    this.#site.upstreams
      .flatMap(({ receivedRequests }) => receivedRequests)
      .forEach(({ id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
    this.#callers
      .flatMap(({ results }) => results)
      .forEach((result) => {
        const problem = findProblem(result, runCounts.get(result.id) ?? 0);
        if (problem !== undefined) this.#violations.push(`${result.kind} ${result.id}: ${problem}`);
      });
  }

  /** Checks how many upstreams each request ended that crashes them, and how often it was sent afterwards. */
  #checkCrashes(): void {
    Array.from({ length: this.#crashingRequests }, (_, index) => index + 1).forEach((number) => {
      const path = `/records/crash/${number}`;
      const sendings = this.#site.upstreams.flatMap(({ receivedRequests }) =>
        receivedRequests.filter(({ target }) => target === path),
      );
      const crashes = this.#site.upstreams
        .filter(({ crashedBy }) => crashedBy === path)
        .map(({ crashedAt = 0 }) => crashedAt)
        .sort((one, two) => one - two);
      const third = crashes[2] ?? Infinity;
      const late = sendings.filter(({ receivedAt }) => receivedAt > third + STABILIZATION_TIME);
      if (crashes.length > MAX_CRASHES || late.length > MAX_LATE_SENDINGS) {
        this.#violations.push(
          `${path} ended ${crashes.length} upstreams, ${late.length} of ${sendings.length} sendings came late`,
        );
      }
    });
  }

  /** Adds a route and drains an upstream when nothing has been disturbed for a time, and goes on for a time. */
  async #checkCalm(): Promise<void> {
    await sleep(STABILIZATION_TIME);
    await Promise.all([this.#changeRoutes(true), this.#drain(this.#seed % this.#links.length)]);
    await sleep(DRAIN_BOUND + CALM_TIME);
  }

  /** Returns when a gateway and all stewards have run undisturbed for STABILIZATION_TIME; Infinity if they haven't. */
  #findCalmTime(gateway: string): number {
    const ends = this.#disturbances
      .filter(({ names }) => names.some((name) => name === gateway || name.startsWith('steward')))
      .map(({ until }) => until);
    return Math.max(...ends) + STABILIZATION_TIME;
  }

  /** Returns whether no disturbance was under way at the time or had ended within STABILIZATION_TIME before it. */
  #isStable(at: number): boolean {
    return this.#disturbances.every(
      ({ from, until }) => at < from || at > until + STABILIZATION_TIME,
    );
  }

  /** Checks that drained upstreams and evacuated zones received no requests after the time bounds. */
  #checkArrivals(): void {
    const report = (
      upstream: Upstream,
      { id, receivedAt }: ReceivedRequest,
      since: number,
      what: string,
    ): void => {
      const late = Math.round(receivedAt - since);
      this.#violations.push(`${upstream.id} received request ${id} ${late} ms after ${what}`);
    };
    this.#drained.forEach(({ upstream, acknowledgedAt }) => {
      upstream.receivedRequests
        .filter(
          ({ receivedAt }) =>
            receivedAt > acknowledgedAt + DRAIN_BOUND && this.#isStable(receivedAt),
        )
        .forEach((arrival) => {
          report(upstream, arrival, acknowledgedAt, '"draining" was acknowledged');
        });
    });
    this.#evacuations.forEach(({ zone, acknowledgedAt, until }) => {
      this.#site.upstreams
        .filter((upstream) => upstream.zone === zone)
        .forEach((upstream) => {
          upstream.receivedRequests
            .filter(
              ({ receivedAt }) =>
                receivedAt > acknowledgedAt + EVACUATE_BOUND && receivedAt < until,
            )
            .filter(({ receivedAt }) => this.#isStable(receivedAt))
            .forEach((arrival) => {
              report(
                upstream,
                arrival,
                acknowledgedAt,
                'the evacuation of its zone was acknowledged',
              );
            });
        });
    });
  }
}

async function waitForTime(time: number): Promise<void> {
  await sleep(Math.max(0, Math.ceil(time - performance.now())));
}

/** Returns the guarantee that the result of a request breaks, if any. */
function findProblem(
  { kind, id, status, seal, body }: RequestResult,
  runCount: number,
): string | undefined {
  if (kind !== 'safe' && runCount > 1) return `ran ${runCount} times`;
  if (runCount > safeRoute.max_attempts) return `ran ${runCount} times`;
  if (kind !== 'safe' && NOT_RUN_STATUSES.includes(status) && runCount > 0) {
    return `was answered with ${status} (not run) but ran`;
  }
  if (status === 200 && seal !== `seal-${id}`)
    return `was answered with a wrong seal: ${seal ?? 'none'}`;
  if (status === 200 && !body.startsWith('served by '))
    return `was answered with the body "${body}"`;
  return undefined;
}

/**
 * Runs one seed: injects faults for `duration` milliseconds, waits for recovery and checks the guarantees. If
 * `hasReplacements` is set, a series of replacements of stewards begins within that time.
 */
export async function runSoak(
  seed: number,
  duration: number,
  hasReplacements: boolean,
): Promise<SoakReport> {
  const soak = await SoakRun.open(seed);
  try {
    return await soak.run(duration, hasReplacements);
  } finally {
    await soak.close();
  }
}
