/** Canonical texts of commands. Invariant: two commands with equal text ask for the same thing. */
import type { Selector } from '../model/index.js';
import type { Command } from './state.js';

/**
 * Writes a selector the way operators type it, with sorted keys.
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

/** Writes a share as a percentage. */
export function formatShare(share: number): string {
  return `${Math.round(share * 10_000) / 100}%`;
}

/**
 * Says in one line what a command asks for; time of issue and operator are left out.
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

/** Names what the command may conflict over with other operators; undefined if nothing. */
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
