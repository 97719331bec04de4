/**
 * tRPC router of the operators' calls. Invariant: every call is answered within its deadline, and reads use
 * only a state that a majority has confirmed since the call arrived.
 */
import { initTRPC, TRPCError } from '@trpc/server';
import type { ControlNode, MemberChange } from '../control/index.js';
import type { ConfigServer } from '../distribution/index.js';
import {
  getStatus,
  listLog,
  type IntentState,
  type OperatorCommand,
  type Outcome,
} from '../intent/index.js';
import { matchSelector, type Address, type Upstream } from '../model/index.js';
import type {
  StatusAnswer,
  ChangeAnswer,
  LogAnswer,
  MemberReport,
  UnavailableAnswer,
  ShowAnswer,
  SiteReport,
  SubmitAnswer,
} from './answers.js';
import { CommandError, MAX_CALL_DEADLINE, parseCommand } from './validate.js';

/** Dependencies of the operators' calls. */
export interface OperatorsDependencies {
  readonly control: ControlNode<IntentState>;
  readonly distribution: ConfigServer;
  /** Operator listener addresses of the control members by peer address; unknown ones are missing. */
  readonly operatorAddresses: Readonly<Record<Address, Address>>;
  /** Returns the announced upstreams that this member knows of. */
  readonly listUpstreams: () => readonly Upstream[];
  /** Returns the wall-clock time in milliseconds. */
  readonly wallNow: () => number;
}

/** Authentication state of a call. */
export interface OperatorsContext {
  readonly isAuthenticated: boolean;
}

/** Maximum number of log records that one call returns; the newest ones. */
const MAX_LOG_RECORDS = 2000;

function readField(value: unknown, key: string): unknown {
  return typeof value === 'object' && value !== null
    ? (value as Readonly<Record<string, unknown>>)[key]
    : undefined;
}

function readNumber(value: unknown, key: string): number {
  const found = readField(value, key);
  if (typeof found === 'number' && Number.isFinite(found)) return found;
  throw new CommandError(`give ${key} as a number`);
}

function readText(value: unknown, key: string): string {
  const found = readField(value, key);
  if (typeof found === 'string' && found !== '') return found;
  throw new CommandError(`give ${key} as a text that is not empty`);
}

function readDeadline(value: unknown): number {
  return Math.min(Math.max(readNumber(value, 'deadlineMs'), 1), MAX_CALL_DEADLINE);
}

/**
 * Returns the services of the upstreams that a move's selector matches. If none matches, this is the service
 * that the selector names.
 */
function listServices(command: OperatorCommand, upstreams: readonly Upstream[]): readonly string[] {
  if (command.kind !== 'startMove') return [];
  const { service } = command.selector.match;
  // The target version of the move takes the place of any version in the selector.
  const labels = Object.entries(command.selector.match).filter(([key]) => key !== 'version');
  const selector = { match: Object.fromEntries(labels) };
  const selected = upstreams.filter((upstream) => matchSelector(selector, upstream));
  const announced = [...new Set(selected.map((upstream) => upstream.service))].sort();
  return announced.length > 0 || service === undefined ? announced : [service];
}

function withServices(command: OperatorCommand, upstreams: readonly Upstream[]): OperatorCommand {
  if (command.kind !== 'startMove') return command;
  return { ...command, services: [...listServices(command, upstreams)] };
}

/** Replaces the leader's peer address by the address of its operator listener. */
function toUnavailableAnswer(
  dependencies: OperatorsDependencies,
  answer: { readonly kind: 'notLeader'; readonly leader: Address | undefined } | UnavailableAnswer,
): UnavailableAnswer {
  if (answer.kind === 'unavailable') return answer;
  const { leader } = answer;
  const operatorAddress = leader === undefined ? undefined : dependencies.operatorAddresses[leader];
  return { kind: 'notLeader', leader: operatorAddress };
}

async function proposeCommand(
  dependencies: OperatorsDependencies,
  command: OperatorCommand,
  deadlineMs: number,
): Promise<SubmitAnswer> {
  const resolvedCommand = withServices(command, dependencies.listUpstreams());
  const proposed = await dependencies.control.propose(resolvedCommand, deadlineMs);
  switch (proposed.kind) {
    case 'committed':
      return { kind: 'outcome', outcome: proposed.result as Outcome };
    case 'unknown':
      return { kind: 'unknown' };
    case 'notLeader':
    case 'unavailable':
      return toUnavailableAnswer(dependencies, proposed);
  }
}

async function withState<Answer>(
  dependencies: OperatorsDependencies,
  deadlineMs: number,
  build: (state: IntentState) => Answer,
): Promise<Answer | UnavailableAnswer> {
  const read = await dependencies.control.readCurrent(deadlineMs);
  return read.kind === 'current' ? build(read.state) : toUnavailableAnswer(dependencies, read);
}

function buildStatusAnswer(
  dependencies: OperatorsDependencies,
  state: IntentState,
  id: string,
): StatusAnswer {
  const status = getStatus(state, id);
  const isPending = status.kind === 'accepted';
  const awaited = isPending ? dependencies.distribution.listAwaited(status.revision) : [];
  return { kind: 'status', status, awaited };
}

/** Describes a member; its id has the form `ADDRESS#INCARNATION`, with the incarnation of its data folder. */
function toMemberReport(id: string, voter: boolean, leader: Address | undefined): MemberReport {
  const [address = id] = id.split('#');
  return { address, voter, leader: address === leader };
}

function buildSite(dependencies: OperatorsDependencies, state: IntentState): SiteReport {
  const { control, distribution } = dependencies;
  const entries = distribution.listEntries();
  const upstreams = dependencies.listUpstreams();
  const zoneNames = [
    ...state.zonesOut,
    ...entries.map(({ zone }) => zone),
    ...upstreams.map(({ zone }) => zone),
  ];
  const { leader, members } = control.status;
  return {
    revision: state.revision,
    inForce: state.inForce,
    awaited: distribution.listAwaited(state.revision),
    zones: [...new Set(zoneNames)].sort().map((zone) => ({
      zone,
      out: state.zonesOut.includes(zone),
      entries: entries.filter((entry) => entry.zone === zone).length,
    })),
    moves: state.moves,
    entries,
    members: members.map(({ id, voter }) => toMemberReport(id, voter, leader)),
    leaving: state.leaving,
    upstreams,
  };
}

const trpc = initTRPC.context<OperatorsContext>().create();

/** Procedure that rejects calls without the operators' token. */
const authenticatedProcedure = trpc.procedure.use(async ({ ctx, next }) => {
  if (!ctx.isAuthenticated) {
    const message = "present the operators' token: --token, or token in the site file";
    throw new TRPCError({ code: 'UNAUTHORIZED', message });
  }
  return next();
});

/** Parses a change of the control members. */
function readChange(value: unknown): MemberChange {
  const kind = readField(value, 'kind');
  const address = readField(value, 'address');
  if (kind !== 'add' && kind !== 'remove') throw new CommandError('give kind as add or remove');
  if (typeof address === 'string' && /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(address)) {
    return { kind, address };
  }
  throw new CommandError('give the peer address of a member as IP:PORT');
}

async function replaceMembers(
  dependencies: OperatorsDependencies,
  change: MemberChange,
): Promise<ChangeAnswer> {
  const changed = await dependencies.control.changeMembers(change);
  switch (changed.kind) {
    case 'committed':
    case 'refused':
    case 'unknown':
      return changed;
    case 'notLeader':
    case 'unavailable':
      return toUnavailableAnswer(dependencies, changed);
  }
}

/** Wraps a parser so that its errors are answered as bad requests with the parser's message. */
function withBadRequestErrors<Input>(parse: (value: unknown) => Input): (value: unknown) => Input {
  return (value) => {
    try {
      return parse(value);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      throw new TRPCError({ code: 'BAD_REQUEST', message });
    }
  };
}

/**
 * Returns the router of the operators' calls.
 *
 * @example
 * const router = createOperatorsRouter({ control, distribution, operatorAddresses: {}, listUpstreams, wallNow: Date.now });
 */
export function createOperatorsRouter(dependencies: OperatorsDependencies) {
  const parseSubmit = withBadRequestErrors((value) => ({
    command: parseCommand(readField(value, 'command'), dependencies.wallNow()),
    deadlineMs: readDeadline(value),
  }));
  const parseAsk = withBadRequestErrors((value) => ({
    id: readText(value, 'id'),
    deadlineMs: readDeadline(value),
  }));
  const parseShow = withBadRequestErrors((value) => ({ deadlineMs: readDeadline(value) }));
  const parseLog = withBadRequestErrors((value) => ({
    since: readNumber(value, 'since'),
    until: readNumber(value, 'until'),
    deadlineMs: readDeadline(value),
  }));
  const parseChange = withBadRequestErrors(readChange);
  return trpc.router({
    changeMembers: authenticatedProcedure
      .input(parseChange)
      .mutation(({ input }) => replaceMembers(dependencies, input)),
    submit: authenticatedProcedure
      .input(parseSubmit)
      .mutation(({ input }) => proposeCommand(dependencies, input.command, input.deadlineMs)),
    ask: authenticatedProcedure
      .input(parseAsk)
      .query(({ input }) =>
        withState<StatusAnswer>(dependencies, input.deadlineMs, (state) =>
          buildStatusAnswer(dependencies, state, input.id),
        ),
      ),
    show: authenticatedProcedure.input(parseShow).query(({ input }) =>
      withState<ShowAnswer>(dependencies, input.deadlineMs, (state) => ({
        kind: 'site',
        site: buildSite(dependencies, state),
      })),
    ),
    log: authenticatedProcedure.input(parseLog).query(({ input }) =>
      withState<LogAnswer>(dependencies, input.deadlineMs, (state) => ({
        kind: 'log',
        records: listLog(state, input.since, input.until).slice(-MAX_LOG_RECORDS),
      })),
    ),
  });
}

/** Type of the router, which gives typed clients its procedures. */
export type OperatorsRouter = ReturnType<typeof createOperatorsRouter>;
