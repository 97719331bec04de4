/**
 * Tells operators when the group of control members can't bear the losses that the settings name. Invariant: only the leader
 * judges, as only it knows which voters are up to date, and each change of its judgement is logged once.
 */
import {
  countBearableLosses,
  countNeededVoters,
  toAddress,
  type ControlNode,
  type ControlStatus,
} from '../control/index.js';
import type { Address, Duration } from '../model/index.js';
import type { Logger } from '../telemetry/index.js';

/** Interval in milliseconds at which the voters are counted. */
const CHECK_INTERVAL: Duration = 250;

/** How many losses the group can bear, and how many its settings name. */
export interface ToleranceReport {
  readonly voters: number;
  /** Voters that answer and hold every committed entry. */
  readonly currentVoters: number;
  readonly bearable: number;
  readonly tolerated: number;
}

/**
 * Returns what the group can bear by the word of its leader, or undefined on other members and where settings name no
 * losses.
 *
 * @example
 * measureTolerance(leader.status, 2) // { voters: 4, currentVoters: 4, bearable: 1, tolerated: 2 }
 */
export function measureTolerance(
  { members, currentVoters }: Pick<ControlStatus, 'members' | 'currentVoters'>,
  tolerated: number | undefined,
): ToleranceReport | undefined {
  if (currentVoters === undefined || tolerated === undefined) return undefined;
  const voters = members.filter(({ voter }) => voter).length;
  return {
    ...{ voters, currentVoters, tolerated },
    bearable: countBearableLosses(voters, currentVoters),
  };
}

/**
 * Returns what an operator should do about a list of members that is too short for the losses that it is to bear.
 *
 * @example
 * describeShortGroup(3, 2) // '3 control members bear the loss of 1, not of 2: list 5'
 */
export function describeShortGroup(members: number, tolerated: number): string | undefined {
  const bearable = countBearableLosses(members, members);
  if (bearable >= tolerated) return undefined;
  return `${members} control members bear the loss of ${bearable}, not of ${tolerated}: list ${countNeededVoters(tolerated)}`;
}

/** Logs each change of whether the group can bear the losses, until the returned function is called. */
export function watchTolerance(
  getStatus: () => ControlStatus,
  tolerated: number | undefined,
  log: Logger,
): () => void {
  let wasShort = false;
  const timer = setInterval(() => {
    const report = measureTolerance(getStatus(), tolerated);
    // A member that leads no more forgets its judgement, as the next leader says its own.
    const isShort = report !== undefined && report.bearable < report.tolerated;
    if (report !== undefined && isShort !== wasShort) writeReport(report, log);
    wasShort = isShort;
  }, CHECK_INTERVAL).unref();
  return () => {
    clearInterval(timer);
  };
}

function writeReport(report: ToleranceReport, log: Logger): void {
  if (report.bearable >= report.tolerated) {
    log.info('the group bears the losses that the settings name', { ...report });
    return;
  }
  log.warn(
    'the group does not bear the losses that the settings name: run more control members on VMs with a disk, or wait until those that catch up vote',
    { ...report, needed: countNeededVoters(report.tolerated) },
  );
}

/** Logs, once for each membership, which voters have come back with an empty data folder and ask to join anew. */
export function reportLostVoters(
  node: Pick<ControlNode<unknown>, 'onJoinRequest' | 'status'>,
  log: Logger,
): void {
  let logged: { readonly index: number; readonly addresses: readonly Address[] } | undefined;
  node.onJoinRequest((address) => {
    const { role, members, membersIndex: index } = node.status;
    const isVoter = members.some(({ id, voter }) => voter && toAddress(id) === address);
    const known = logged?.index === index ? logged.addresses : [];
    if (!isVoter || known.includes(address)) return;
    logged = { index, addresses: [...known, address] };
    log.warn('a voter came back with an empty data folder and asks to join anew', {
      ...{ address, role, voters: members.filter(({ voter }) => voter).length },
      lost: logged.addresses,
    });
  });
}
