/** Types of a control member's side of the lease protocol: its state, inputs and side effects. */
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

/** The part of the replicated state that the protocol needs. */
export interface CommittedView {
  readonly config: Config;
  /** The newest revision that was in force everywhere. */
  readonly inForce: Revision;
  /** The revision that introduced the roster's current epoch. */
  readonly epochRevision: Revision;
}

/** What this leader learned from the polls of one incarnation of an entry. */
export interface LeaseRecord {
  readonly entryId: EntryId;
  readonly incarnation: number;
  /** The newest revision that the entry reported to apply. */
  readonly revision: Revision;
  /** Arrival time of the latest poll that this leader granted a lease for; undefined before the first. */
  readonly grantedAt: Instant | undefined;
  readonly leaving: boolean;
}

/** An entry's request to be added to the roster. */
export interface JoinRequest {
  readonly member: RosterMember;
  readonly receivedAt: Instant;
}

/** One incarnation of an entry that is granted no further leases. */
export interface FencedEntry {
  readonly entryId: EntryId;
  readonly incarnation: number;
}

/** A poll that waits until a round confirms the leadership. */
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

/** A command that the leader proposes by itself; the shell adds id, operator and time of issue. */
export type MemberProposal = Body<
  ActivateEntry | ConfirmInForce | JoinEntry | LapseEntry | LeaveEntry
>;

/** The proposal whose outcome is not known yet. */
export interface PendingProposal {
  readonly body: MemberProposal;
  readonly proposedAt: Instant;
}

/** State of {@link decideServer}. */
export interface ServerState {
  /** Peer address of this member. */
  readonly self: Address;
  readonly isLeader: boolean;
  /**
   * When this member first noticed its leadership. Leases that earlier leaders granted may be valid for one
   * lease duration after that.
   */
  readonly leaderSince: Instant;
  readonly leader: Address | undefined;
  readonly view: CommittedView;
  readonly leaseRecords: readonly LeaseRecord[];
  readonly joinRequests: readonly JoinRequest[];
  /** Incarnations whose removal was proposed, or that a newer incarnation waits to replace. */
  readonly fencedEntries: readonly FencedEntry[];
  readonly waitingPolls: readonly WaitingPoll[];
  /** The polls of the round in progress; undefined between rounds. */
  readonly roundPolls: readonly WaitingPoll[] | undefined;
  /** Number of the latest round; the result of an earlier one is ignored. */
  readonly lastRound: number;
  readonly nextRoundAt: Instant;
  readonly proposal: PendingProposal | undefined;
  /** Number of the latest proposal; the outcome of an earlier one is ignored. */
  readonly lastProposal: number;
  readonly nextProposalAt: Instant;
  /** The newest configurations, as bases for deltas. */
  readonly recentConfigs: readonly Config[];
}

/** Inputs of {@link decideServer}. */
export type ServerEvent =
  /** This member became leader in a new term. */
  | { readonly kind: 'led'; readonly now: Instant }
  | { readonly kind: 'followed'; readonly leader: Address | undefined; readonly now: Instant }
  | { readonly kind: 'applied'; readonly view: CommittedView; readonly now: Instant }
  | {
      readonly kind: 'asked';
      readonly from: Address;
      readonly request: Poll | Join;
      readonly now: Instant;
    }
  /** The round ended; `led` is whether a majority confirmed the leadership since it began. */
  | {
      readonly kind: 'roundEnded';
      readonly round: number;
      readonly led: boolean;
      readonly now: Instant;
    }
  /** The proposal ended; `accepted` is whether it is known to have taken effect. */
  | {
      readonly kind: 'proposalEnded';
      readonly proposal: number;
      readonly accepted: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'ticked'; readonly now: Instant };

/** Side effects that the shell (the I/O layer) performs. */
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
