/**
 * The `control` role. Wires up the replicated log, the intent state machine, configuration distribution and
 * the operators' listener. Invariant: operators only receive answers that are based on committed state.
 */
import { inject, injectable } from 'inversify';
import {
  openControl,
  type ControlNode,
  type ControlProblem,
  type SnapshotReport,
} from '../control/index.js';
import {
  createConfigServer,
  type CommittedView,
  type ConfigServer,
} from '../distribution/index.js';
import type { ControlSettings, Settings } from '../generated/settings.js';
import { buildConfig, createIntentMachine, type IntentState } from '../intent/index.js';
import type { Membership } from '../membership/index.js';
import {
  createMoveController,
  openOperators,
  type MoveController,
  type OperatorsListener,
} from '../operators/index.js';
import { createLogger, type Metrics } from '../telemetry/index.js';
import type { Mesh } from '../wire/index.js';
import { ProcessRole, type RoleState } from './role.js';
import { measureTolerance, reportLostVoters, watchTolerance } from './tolerance.js';
import { TOKENS } from './tokens.js';

const log = createLogger('control');

/** The components of a running control member. */
interface ControlComponents {
  readonly node: ControlNode<IntentState>;
  readonly server: ConfigServer;
  readonly moveController: MoveController;
  readonly operators: OperatorsListener;
  readonly stopWatchingTolerance: () => void;
}

function getNow(): number {
  return performance.now();
}

function buildCommittedView(state: IntentState): CommittedView {
  return {
    config: buildConfig(state),
    inForce: state.inForce,
    epochRevision: state.epochRevision,
  };
}

function reportProblem({ kind, message }: ControlProblem): void {
  log.warn(message, { kind });
}

function reportSnapshot({ reason, index, logBytes, stateBytes }: SnapshotReport): void {
  log.info('snapshot taken', { reason, index, logBytes, stateBytes });
}

/** Runs a control member as part of a process. */
@injectable()
export class ControlRole extends ProcessRole {
  readonly #settings: Settings;
  readonly #mesh: Mesh;
  readonly #metrics: Metrics;
  readonly #membership: Membership;
  #components: ControlComponents | undefined;

  constructor(
    @inject(TOKENS.settings) settings: Settings,
    @inject(TOKENS.mesh) mesh: Mesh,
    @inject(TOKENS.metrics) metrics: Metrics,
    @inject(TOKENS.membership) membership: Membership,
  ) {
    super();
    this.#settings = settings;
    this.#mesh = mesh;
    this.#metrics = metrics;
    this.#membership = membership;
  }

  override async start(): Promise<void> {
    const options = this.#settings.control;
    if (options === undefined) throw new Error('settings have no section [control]: add it');
    const node = await this.#openNode(options);
    const moveController = createMoveController({
      control: node,
      listUpstreams: () => this.#membership.upstreams,
      wallNow: Date.now,
    });
    const server = createConfigServer({
      mesh: this.#mesh,
      control: node,
      view: buildCommittedView,
      now: getNow,
      wallNow: Date.now,
      onEvidence: (_, rows) => {
        moveController.addEvidence(rows);
      },
    });
    const operators = await openOperators({
      listen: options.operator_listen ?? '',
      token: this.#settings.site.operator_token ?? '',
      control: node,
      distribution: server,
      operatorAddresses: {},
      listUpstreams: () => this.#membership.upstreams,
      wallNow: Date.now,
    });
    reportLostVoters(node, log);
    const stopWatchingTolerance = watchTolerance(() => node.status, options.tolerated_losses, log);
    this.#components = { node, server, moveController, operators, stopWatchingTolerance };
    this.#updateSeedsFromRoster(node);
    this.#registerGauges(node);
  }

  override async stop(): Promise<void> {
    this.#components?.stopWatchingTolerance();
    await this.#components?.operators.close();
    this.#components?.moveController.close();
    this.#components?.server.close();
    await this.#components?.node.close();
  }

  override isReady(): boolean {
    const status = this.#components?.node.status;
    // While a replacement has no vote yet, the group can't bear the loss of another member.
    return status !== undefined && status.healthy && status.isVoter;
  }

  override describeState(): RoleState {
    if (this.#components === undefined) return {};
    const { role, term, leader, commitIndex, problem } = this.#components.node.status;
    return { role, term, leader: leader ?? '', commitIndex, problem: problem ?? '' };
  }

  #openNode(options: ControlSettings): Promise<ControlNode<IntentState>> {
    return openControl({
      address: this.#settings.peer.listen,
      members: options.members,
      join: options.join ?? false,
      dataFolder: options.data_folder ?? '',
      mesh: this.#mesh,
      machine: createIntentMachine(),
      onProblem: reportProblem,
      onSnapshot: reportSnapshot,
    });
  }

  /** Seeds the membership protocol with the entries of the committed roster. */
  #updateSeedsFromRoster(node: ControlNode<IntentState>): void {
    node.onApplied((state) => {
      const { members } = buildConfig(state).roster;
      this.#membership.updateSeeds(members.map((member) => member.peerAddress));
    });
  }

  #registerGauges(node: ControlNode<IntentState>): void {
    const gauges: readonly (readonly [string, string, () => number])[] = [
      [
        'chivewalk_control_leader',
        '1 while this member leads.',
        () => Number(node.status.role === 'leader'),
      ],
      ['chivewalk_control_term', 'Current term.', () => node.status.term],
      [
        'chivewalk_control_commit_index',
        'Newest committed entry of the log.',
        () => node.status.commitIndex,
      ],
      ['chivewalk_control_log_bytes', 'Bytes of the log in memory.', () => node.status.logBytes],
      [
        'chivewalk_control_healthy',
        '1 while this member votes and knows a leader.',
        () => Number(node.status.healthy && node.status.isVoter),
      ],
      [
        'chivewalk_control_bearable_losses',
        'At the leader: members that the group can lose at once; -1 elsewhere.',
        () => measureTolerance(node.status, 0)?.bearable ?? -1,
      ],
      [
        'chivewalk_control_tolerated_losses',
        'Members that the group is to bear losing at once, by the settings.',
        () => this.#settings.control?.tolerated_losses ?? 0,
      ],
    ];
    gauges.forEach(([name, help, read]) => {
      this.#metrics.watchGauge(name, help, read);
    });
  }
}
