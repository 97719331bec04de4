/** Formats commands as canonical text. Invariant: two commands with equal text request the same thing. */
import type { Selector } from '../model/index.js';
import type { Command } from './state.js';

/**
 * Formats a selector as operators type it, with sorted keys.
 *
 * @example
 * formatSelector({ match: { version: 'v1', service: 'seam' } }) // 'service=seam,version=v1'
 */
export function formatSelector(selector: Selector): string {
  return Object.entries(selector.match)
    .map(([key, value]) => `${key}=${value}`)
    .sort()
    .join(',');
}

/** Formats a share from 0 to 1 as a percentage with at most two decimals. */
export function formatShare(share: number): string {
  return `${Math.round(share * 10_000) / 100}%`;
}

/**
 * Describes in one line what a command requests, without its time of issue and its operator.
 *
 * @example
 * describeCommand({ kind: 'zoneOut', zone: 'cyberjaya', ... }) // 'zone out cyberjaya'
 */
export function describeCommand(command: Command): string {
  switch (command.kind) {
    case 'zoneOut':
      return `zone out ${command.zone}`;
    case 'zoneIn':
      return `zone in ${command.zone}`;
    case 'upstreamsLeave':
      return `upstreams leave ${formatSelector(command.selector)}`;
    case 'upstreamsStay':
      return `upstreams stay ${formatSelector(command.selector)}`;
    case 'startMove':
      return `move start ${formatSelector(command.selector)} version ${command.version} by ${new Date(command.deadline).toISOString()}`;
    case 'cancelMove':
      return `move cancel ${command.moveId}`;
    case 'stepMove':
      return `move step ${command.moveId} ${command.step} to ${formatShare(command.share)}${command.late ? ' late' : ''}`;
    case 'finishMove':
      return `move done ${command.moveId} ${command.step}`;
    case 'takeBackMove':
      return `move taken back ${command.moveId} ${command.step}`;
    case 'joinEntry':
      return `entry join ${command.entry.id} incarnation ${command.entry.incarnation} zone ${command.entry.zone} peer ${command.entry.peerAddress} caller ${command.entry.callerAddress}`;
    case 'activateEntry':
      return `entry active ${command.entryId} incarnation ${command.incarnation}`;
    case 'leaveEntry':
      return `entry leaving ${command.entryId} incarnation ${command.incarnation}`;
    case 'lapseEntry':
      return `entry lapsed ${command.entryId} incarnation ${command.incarnation}`;
    case 'confirmInForce':
      return `in force ${command.revision}`;
  }
}

/** Returns the subject that the command may conflict over with other commands, if it has one. */
export function getSubject(command: Command): string | undefined {
  switch (command.kind) {
    case 'zoneOut':
    case 'zoneIn':
      return `zone ${command.zone}`;
    case 'upstreamsLeave':
    case 'upstreamsStay':
      return `upstreams ${formatSelector(command.selector)}`;
    case 'cancelMove':
      return `move ${command.moveId}`;
    case 'startMove':
    case 'stepMove':
    case 'finishMove':
    case 'takeBackMove':
    case 'joinEntry':
    case 'activateEntry':
    case 'leaveEntry':
    case 'lapseEntry':
    case 'confirmInForce':
      return undefined;
  }
}
