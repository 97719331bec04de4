/**
 * The `entry` role. Wires up membership, configuration distribution, claims, routing and the listeners.
 * Invariant: an entry accepts no caller's request until its configuration is confirmed as current and it has
 * received the upstreams that other entries know. It stops waiting for those upstreams after
 * {@link JOIN_TIMEOUT_MS}.
 */
import { inject, injectable } from 'inversify';
import { createClaims, type ClaimService } from '../claims/index.js';
import { createConfigClient, type ConfigClient } from '../distribution/index.js';
import {
  createAnnouncementListener,
  createEntry,
  createRouter,
  type AnnouncementListener,
  type CallHooks,
  type ClaimPort,
  type ConfigPort,
  type Entry,
  type MembersPort,
  type RoutingSignal,
} from '../entry/index.js';
import type { Membership } from '../membership/index.js';
import type { Address } from '../model/index.js';
import type { EntrySettings, Settings } from '../generated/settings.js';
import { createLogger, type Metrics, type Tracer } from '../telemetry/index.js';
import type { Mesh } from '../wire/index.js';
import { handleCrashReports, reportCrash } from './crash.js';
import { ProcessRole, type RoleState } from './role.js';
import { TOKENS } from './tokens.js';
import { handleWarmupNotices, sendWarmupNotice } from './warmup.js';

const log = createLogger('entry');
/** Milliseconds after which an upstream renews its announcement. */
const RENEW_AFTER_MS = 2000;

function getNow(): number {
  return performance.now();
}

/** The components of a running entry. */
interface EntryComponents {
  readonly membership: Membership;
  readonly client: ConfigClient;
  readonly claims: ClaimService;
  readonly entry: Entry;
  readonly announcements: AnnouncementListener;
}

/** Runs an entry as part of a process. */
@injectable()
export class EntryRole extends ProcessRole {
  readonly #settings: Settings;
  readonly #mesh: Mesh;
  readonly #metrics: Metrics;
  readonly #tracer: Tracer;
  readonly #incarnation: number;
  readonly #membership: Membership;
  #components: EntryComponents | undefined;

  constructor(
    @inject(TOKENS.settings) settings: Settings,
    @inject(TOKENS.mesh) mesh: Mesh,
    @inject(TOKENS.metrics) metrics: Metrics,
    @inject(TOKENS.tracer) tracer: Tracer,
    @inject(TOKENS.incarnation) incarnation: number,
    @inject(TOKENS.membership) membership: Membership,
  ) {
    super();
    this.#settings = settings;
    this.#mesh = mesh;
    this.#metrics = metrics;
    this.#tracer = tracer;
    this.#incarnation = incarnation;
    this.#membership = membership;
  }

  override async start(): Promise<void> {
    const options = this.#settings.entry;
    if (options === undefined) throw new Error('settings have no section [entry]: add it');
    const membership = this.#membership;
    const client = this.#startClient(options);
    const claims = this.#startClaims(client);
    await this.#waitForUpstreams(membership);
    await this.#waitForConfiguration(client);
    const entry = await this.#openEntry(options, membership, client, claims);
    const announcements = await createAnnouncementListener({
      listen: options.upstream_listen,
      token: this.#settings.site.upstream_token ?? '',
      renewAfterMs: RENEW_AFTER_MS,
      port: {
        announce: (upstream) => {
          membership.announce(upstream);
        },
        leave: (id, incarnation) => membership.leaveUpstream(id, incarnation),
      },
    });
    this.#components = { membership, client, claims, entry, announcements };
    this.#shareQuarantine(membership, entry);
    handleWarmupNotices(this.#mesh, entry);
    handleCrashReports(this.#mesh, membership);
    this.#registerGauges(this.#components);
  }

  /**
   * Withdraws this entry from address lookups, keeps serving while callers cache its address, and then stops.
   */
  override async stop(): Promise<void> {
    if (this.#components === undefined) return;
    const { membership, client, claims, entry, announcements } = this.#components;
    membership.setStopping();
    await entry.stop();
    await Promise.race([client.leave(), waitFor(LEAVE_TIMEOUT_MS)]);
    await announcements.stop();
    claims.close();
    client.close();
  }

  override isReady(): boolean {
    return this.#components?.client.isServing(getNow()) ?? false;
  }

  override describeState(): RoleState {
    if (this.#components === undefined) return {};
    const { client, membership, entry } = this.#components;
    return {
      revision: client.config.revision,
      fresh: client.isFresh(getNow()),
      upstreams: membership.upstreams.length,
      entries: membership.entries.length,
      inFlight: entry.inFlight,
    };
  }

  /**
   * Waits until the upstreams are known, because callers that used this entry before a restart return
   * immediately.
   */
  async #waitForUpstreams(membership: Membership): Promise<void> {
    const startedAt = getNow();
    await Promise.race([membership.joined, waitFor(JOIN_TIMEOUT_MS)]);
    log.info('finished waiting for upstreams', {
      upstreams: membership.upstreams.length,
      waitedMs: Math.round(getNow() - startedAt),
    });
  }

  /**
   * Waits until a control member confirms the configuration. Until then, every call would be refused, as by an
   * entry that is partitioned from the site.
   */
  async #waitForConfiguration(client: ConfigClient): Promise<void> {
    const deadline = getNow() + CONFIRM_TIMEOUT_MS;
    while (!client.isServing(getNow()) && getNow() < deadline)
      await waitFor(CONFIRM_POLL_INTERVAL_MS);
    if (client.isServing(getNow())) return;
    log.warn('no control member confirmed the configuration: calls are refused until one does', {
      waitedMs: CONFIRM_TIMEOUT_MS,
    });
  }

  #startClient(options: EntrySettings): ConfigClient {
    return createConfigClient({
      mesh: this.#mesh,
      self: {
        id: this.#settings.process.id,
        zone: this.#settings.process.zone,
        callerAddress: options.caller_listen,
        incarnation: this.#incarnation,
      },
      controlMembers: this.#settings.control?.members ?? [],
      now: getNow,
      stalePolicy: options.stale_policy ?? 'refuse',
    });
  }

  #startClaims(client: ConfigClient): ClaimService {
    return createClaims({
      mesh: this.#mesh,
      self: {
        id: this.#settings.process.id,
        incarnation: this.#incarnation,
        peerAddress: this.#settings.peer.listen,
      },
      source: {
        get roster() {
          return client.config.roster;
        },
        isFresh: (now) => client.isFresh(now),
        onChange: (listener) => {
          client.onChange(listener);
        },
      },
      now: getNow,
      random: Math.random,
    });
  }

  #openEntry(
    options: EntrySettings,
    membership: Membership,
    client: ConfigClient,
    claims: ClaimService,
  ): Promise<Entry> {
    return createEntry({
      id: this.#settings.process.id,
      zone: this.#settings.process.zone,
      callerListen: options.caller_listen,
      addressTtlMs: options.address_ttl_ms ?? DEFAULT_ADDRESS_TTL_MS,
      routing: createRouter({ probeShare: options.probe_share ?? DEFAULT_PROBE_SHARE }),
      claims: buildClaimPort(claims),
      config: buildConfigPort(client),
      members: buildMembersPort(membership),
      hooks: this.#buildHooks(),
      onSignal: (signal) => {
        this.#handleSignal(signal, membership, client);
      },
    });
  }

  #buildHooks(): CallHooks {
    return {
      onCallFinished: ({ service, outcome, latency, reason }) => {
        this.#metrics.recordCall({
          service,
          outcome: reason === '' ? outcome : `${outcome}:${reason}`,
          latency,
        });
      },
      ...(this.#settings.telemetry?.otlp_url === undefined
        ? {}
        : {
            startSpan: ({ service, route, traceparent }) => {
              const span = this.#tracer.startHop(`${service}/${route}`, traceparent, Math.random());
              if (span === undefined) return undefined;
              return {
                traceparent: span.traceparent,
                end: ({ status, upstreamId }) => {
                  span.finish(status, upstreamId);
                },
              };
            },
          }),
      onDefect: (error) => {
        log.error(error.message, { stack: error.stack ?? '' });
      },
    };
  }

  #handleSignal(signal: RoutingSignal, membership: Membership, client: ConfigClient): void {
    switch (signal.kind) {
      case 'suspect':
        void reportCrash(this.#mesh, listPeers(client), membership, signal);
        break;
      case 'cleared':
        membership.reportSuccess(signal.fingerprint);
        break;
      case 'evidence':
        client.addEvidence(signal);
        break;
      case 'warmth':
        sendWarmupNotice(this.#mesh, listPeers(client), signal);
        break;
    }
  }

  /** Passes quarantined and suspected fingerprints to the routing decisions, and logs new quarantines. */
  #shareQuarantine(membership: Membership, entry: Entry): void {
    membership.onQuarantineChanged((fingerprints, until) => {
      const now = getNow();
      if (until > now)
        log.warn('quarantined requests that crashed several upstreams', { fingerprints });
      entry.dispatch({ kind: 'condemned', fingerprints, until, now });
    });
    membership.onSuspectsChanged((fingerprints) => {
      entry.dispatch({ kind: 'suspected', fingerprints, now: getNow() });
    });
  }

  #registerGauges({ membership, client, claims, entry }: EntryComponents): void {
    const gauges: readonly (readonly [string, string, () => number])[] = [
      [
        'chivewalk_upstreams',
        'Upstreams whose announcement stands.',
        () => membership.upstreams.length,
      ],
      ['chivewalk_entries', 'Entries that are known.', () => membership.entries.length],
      ['chivewalk_config_revision', 'Revision in force here.', () => client.config.revision],
      [
        'chivewalk_config_fresh',
        '1 while the configuration is confirmed as current.',
        () => Number(client.isFresh(getNow())),
      ],
      ['chivewalk_claims', 'Claims that are remembered here.', () => claims.size],
      [
        'chivewalk_claims_ready',
        '1 while this entry answers for claims.',
        () => Number(claims.isReady),
      ],
      ['chivewalk_calls_in_flight', 'Calls without an answer yet.', () => entry.inFlight],
      ['chivewalk_upstream_connections', 'Connections to upstreams.', () => entry.connections],
    ];
    gauges.forEach(([name, help, read]) => {
      this.#metrics.watchGauge(name, help, read);
    });
    client.onChange((config) => {
      log.info('configuration in force', {
        revision: config.revision,
        zonesOut: config.zonesOut,
      });
      membership.updateSeeds(listPeers(client));
    });
  }
}

/** Milliseconds for which callers may cache an address. */
const DEFAULT_ADDRESS_TTL_MS = 5000;
const DEFAULT_PROBE_SHARE = 0.01;
/**
 * Milliseconds after which an entry opens even if no other entry has sent it the known upstreams. Every
 * upstream renews its announcement at some entry within this time.
 */
const JOIN_TIMEOUT_MS = RENEW_AFTER_MS;
/**
 * Milliseconds after which an entry opens without a confirmed configuration. A control group elects a leader
 * in less time.
 */
const CONFIRM_TIMEOUT_MS = 5000;
/** Interval in milliseconds at which an entry checks whether its configuration is confirmed. */
const CONFIRM_POLL_INTERVAL_MS = 25;
/** Milliseconds that a stopping entry waits to be removed from the roster. */
const LEAVE_TIMEOUT_MS = 3000;

function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}

/** Returns the peer addresses of the committed roster. */
function listPeers(client: ConfigClient): readonly Address[] {
  return client.config.roster.members.map((member) => member.peerAddress);
}

function buildConfigPort(client: ConfigClient): ConfigPort {
  return {
    get config() {
      return client.config;
    },
    isFresh: (now) => client.isServing(now),
    onChange: (listener) => {
      client.onChange(listener);
    },
  };
}

function buildMembersPort(membership: Membership): MembersPort {
  return {
    entries: () =>
      membership.entries
        .filter((entry) => entry.alive && !entry.stopping && entry.callerAddress !== '')
        .map((entry) => ({ address: entry.callerAddress, zone: entry.zone })),
    upstreams: () => membership.upstreams,
    onChange: (listener) => {
      membership.onUpstreamsChanged(listener);
      membership.onEntriesChanged(listener);
    },
  };
}

function buildClaimPort(claims: ClaimService): ClaimPort {
  return {
    claim: (key, digest, deadline) => claims.claim(key, digest, deadline),
    settle: (_, token, settlement) => {
      claims.settle(token, settlement);
    },
  };
}
