/**
 * Encodes messages compactly, as arrays without field names, because every entry sends about one poll per
 * second. Invariant: decoding an encoded message returns an equal message.
 */
import type {
  ConfigDelta,
  DistributionMessage,
  EvidenceRow,
  Grant,
  Join,
  Poll,
  Redirect,
  Update,
  WireMember,
  WireSelector,
  WireWeight,
} from '../generated/distribution.js';

export type { DistributionMessage, EvidenceRow, Grant, Join, Poll, Redirect, Update };

/** Message type, the first element of an encoded message. */
const TAGS = { poll: 1, join: 2, grant: 3, update: 4, redirect: 5 } as const;
const PHASES = ['joining', 'active', 'leaving'] as const;

type Compact = readonly unknown[];

function encodeRow(row: EvidenceRow): Compact {
  return [row.service, row.version, row.route, row.ok, row.failed, row.latencies];
}

function decodeRow(compact: Compact): EvidenceRow {
  const [service, version, route, ok, failed, latencies] = compact as [
    string,
    string,
    string,
    number,
    number,
    number[],
  ];
  return { service, version, route, ok, failed, latencies };
}

function encodeMember(member: WireMember): Compact {
  const { id, zone, peerAddress, callerAddress, incarnation, phase } = member;
  return [id, zone, peerAddress, callerAddress, incarnation, PHASES.indexOf(phase)];
}

function decodeMember(compact: Compact): WireMember {
  const [id, zone, peerAddress, callerAddress, incarnation, phase] = compact as [
    string,
    string,
    string,
    string,
    number,
    number,
  ];
  return { id, zone, peerAddress, callerAddress, incarnation, phase: PHASES[phase] ?? 'joining' };
}

function encodeDelta(delta: ConfigDelta): Compact {
  return [
    delta.base,
    delta.revision,
    delta.zonesOut,
    delta.zonesIn,
    delta.leaving.map(({ match }) => match),
    delta.staying.map(({ match }) => match),
    delta.weights.map(({ service, version, share }) => [service, version, share]),
    delta.unweighted,
    delta.epoch,
    delta.members.map(encodeMember),
    delta.lapsed,
  ];
}

function decodeDelta(compact: Compact): ConfigDelta {
  const [base, revision, zonesOut, zonesIn, leaving, staying, weights, unweighted, epoch] =
    compact as [
      number,
      number,
      string[],
      string[],
      WireSelector['match'][],
      WireSelector['match'][],
      [string, string, number][],
      string[],
      number,
    ];
  const [members, lapsed] = compact.slice(9) as [Compact[], string[]];
  return {
    base,
    revision,
    zonesOut,
    zonesIn,
    leaving: leaving.map((match) => ({ match })),
    staying: staying.map((match) => ({ match })),
    weights: weights.map(([service, version, share]): WireWeight => ({ service, version, share })),
    unweighted,
    epoch,
    members: members.map(decodeMember),
    lapsed,
  };
}

/**
 * Encodes a message as a compact array.
 *
 * @example
 * mesh.send(to, 'config', encodeMessage({ kind: 'grant', seq: 7, revision: 12 }));
 */
export function encodeMessage(message: DistributionMessage): Compact {
  const tag = TAGS[message.kind];
  switch (message.kind) {
    case 'poll': {
      const head = [tag, message.seq, message.incarnation, message.revision];
      if (!message.leaving && message.evidence.length === 0) return head;
      return [...head, message.leaving, message.evidence.map(encodeRow)];
    }
    case 'join': {
      const { seq, entryId, zone, callerAddress, incarnation, revision } = message;
      return [tag, seq, entryId, zone, callerAddress, incarnation, revision];
    }
    case 'grant':
      return [tag, message.seq, message.revision];
    case 'update':
      return [tag, message.seq, message.granted, encodeDelta(message.delta)];
    case 'redirect':
      return message.leader === undefined ? [tag, message.seq] : [tag, message.seq, message.leader];
  }
}

function decodePoll(fields: Compact): Poll {
  const [seq, incarnation, revision, leaving, rows] = fields as [
    number,
    number,
    number,
    boolean | undefined,
    Compact[] | undefined,
  ];
  const evidence = (rows ?? []).map(decodeRow);
  return { kind: 'poll', seq, incarnation, revision, leaving: leaving ?? false, evidence };
}

function decodeJoin(fields: Compact): Join {
  const [seq, entryId, zone, callerAddress, incarnation, revision] = fields as [
    number,
    string,
    string,
    string,
    number,
    number,
  ];
  return { kind: 'join', seq, entryId, zone, callerAddress, incarnation, revision };
}

/** Decodes a compact message; returns undefined if this version does not know its type. */
export function decodeMessage(compact: unknown): DistributionMessage | undefined {
  if (!Array.isArray(compact)) return undefined;
  const [tag, ...fields] = compact as unknown[];
  switch (tag) {
    case TAGS.poll:
      return decodePoll(fields);
    case TAGS.join:
      return decodeJoin(fields);
    case TAGS.grant: {
      const [seq, revision] = fields as [number, number];
      return { kind: 'grant', seq, revision };
    }
    case TAGS.update: {
      const [seq, granted, delta] = fields as [number, boolean, Compact];
      return { kind: 'update', seq, granted, delta: decodeDelta(delta) };
    }
    case TAGS.redirect: {
      const [seq, leader] = fields as [number, string | undefined];
      return leader === undefined ? { kind: 'redirect', seq } : { kind: 'redirect', seq, leader };
    }
    default:
      return undefined;
  }
}
