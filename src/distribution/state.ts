/** What a control member knows of the entries, and what its side of the lease protocol is told and does. */
import type {
  ActivateEntry,
  ConfirmInForce,
  JoinEntry,
  LapseEntry,
  LeaveEntry,
} from '../generated/intent.js';
import {
  emptyConfig,
  type Address,
  type Config,
  type EntryId,
  type Instant,
  type Revision,
  type RosterMember,
} from '../model/index.js';
import type { DistributionMessage, EvidenceRow, Join, Poll } from './codec.js';

/** The part of the agreed state that the protocol needs. */
export interface CommittedView {
  readonly config: Config;
  /** The newest revision that was in force everywhere. */
  readonly inForce: Revision;
  /** The revision that made the roster's epoch. */
  readonly epochRevision: Revision;
}

/** What this leader saw of one incarnation of an entry. */
export interface LeaseRecord {
  readonly entryId: EntryId;
  readonly incarnation: number;
  /** The newest revision that the entry said it applies. */
  readonly revision: Revision;
  /** When the last poll arrived that was granted a lease by this leader. */
  readonly grantedAt: Instant | undefined;
  readonly leaving: boolean;
}

/** An entry that asked to join. */
export interface JoinRequest {
  readonly member: RosterMember;
  readonly receivedAt: Instant;
}

/** One incarnation of an entry that gets no lease any more. */
export interface FencedEntry {
  readonly entryId: EntryId;
  readonly incarnation: number;
}

/** A poll that waits until leadership is confirmed. */
export interface WaitingPoll {
  readonly entryId: EntryId;
  readonly incarnation: number;
  readonly from: Address;
  readonly seq: number;
  readonly revision: Revision;
  readonly arrivedAt: Instant;
}

type Body<Command> = Command extends unknown
  ? Omit<Command, 'id' | 'operator' | 'issuedAt'>
  : never;

/** What the leader proposes on its own; the shell adds id, operator and time. */
export type MemberProposal = Body<
  ActivateEntry | ConfirmInForce | JoinEntry | LapseEntry | LeaveEntry
>;

/** The proposal whose end is awaited. */
export interface PendingProposal {
  readonly body: MemberProposal;
  readonly proposedAt: Instant;
}

/** The whole state of a control member's side. */
export interface ServerState {
  /** Peer address of this member. */
  readonly self: Address;
  readonly isLeader: boolean;
  /** When this leadership was first noticed; earlier leases of other leaders may live for one length. */
  readonly leaderSince: Instant;
  readonly leader: Address | undefined;
  readonly view: CommittedView;
  readonly leaseRecords: readonly LeaseRecord[];
  readonly joinRequests: readonly JoinRequest[];
  /** Entries that get no lease any more: their removal was proposed, or a newer incarnation waits. */
  readonly fencedEntries: readonly FencedEntry[];
  readonly waitingPolls: readonly WaitingPoll[];
  /** The polls that the running round confirms leadership for; undefined between rounds. */
  readonly roundPolls: readonly WaitingPoll[] | undefined;
  /** Number of the last round. */
  readonly lastRound: number;
  readonly nextRoundAt: Instant;
  readonly proposal: PendingProposal | undefined;
  /** Number of the last proposal. */
  readonly lastProposal: number;
  readonly nextProposalAt: Instant;
  /** The newest configurations, for deltas. */
  readonly recentConfigs: readonly Config[];
}

/** What a control member's side is told. */
export type ServerEvent =
  /** This member leads in a new term. */
  | { readonly kind: 'led'; readonly now: Instant }
  | { readonly kind: 'followed'; readonly leader: Address | undefined; readonly now: Instant }
  | { readonly kind: 'applied'; readonly view: CommittedView; readonly now: Instant }
  | {
      readonly kind: 'asked';
      readonly from: Address;
      readonly request: Poll | Join;
      readonly now: Instant;
    }
  /** The round ended; `led` tells whether a majority confirmed the leadership since it began. */
  | {
      readonly kind: 'roundEnded';
      readonly round: number;
      readonly led: boolean;
      readonly now: Instant;
    }
  /** The proposal's outcome is known, or will never be; `accepted` tells whether it took effect. */
  | {
      readonly kind: 'proposalEnded';
      readonly proposal: number;
      readonly accepted: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'ticked'; readonly now: Instant };

/** What a control member's shell must do. */
export type ServerEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: DistributionMessage }
  | { readonly kind: 'confirmLeadership'; readonly round: number }
  | { readonly kind: 'propose'; readonly proposal: number; readonly body: MemberProposal }
  | { readonly kind: 'evidence'; readonly entryId: EntryId; readonly rows: readonly EvidenceRow[] };

/** Returns the state of a control member that has just started. */
export function createServerState(self: Address, now: Instant): ServerState {
  return {
    self,
    isLeader: false,
    leaderSince: now,
    leader: undefined,
    view: { config: emptyConfig, inForce: 0, epochRevision: 0 },
    leaseRecords: [],
    joinRequests: [],
    fencedEntries: [],
    waitingPolls: [],
    roundPolls: undefined,
    lastRound: 0,
    nextRoundAt: now,
    proposal: undefined,
    lastProposal: 0,
    nextProposalAt: now,
    recentConfigs: [emptyConfig],
  };
}
