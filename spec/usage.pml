/*
 * Model of the usage reports of one window: one gateway that sends two batches, two members of the group, and the
 * platform.
 *
 * Either member may become leader at any time, at most CHANGES times, and the other may not know of it. A delivery of
 * the gateway may come to either member, again and again until its commit. A member may stop at any point, which the
 * model represents by not taking the step, and go on later, as after a freeze or partition. The platform carries out calls
 * in any order and at any time, and its answer may be lost. A commit of a member is applied if it leads at that moment;
 * it doesn't learn whether it was, so that it may propose the same batches again.
 *
 * Checked properties: two accepted reports never differ; the counts of a report hold each batch once at most; a token
 * is used by one member; a member doesn't call with a token that the platform refused it. The order in time of holders
 * depends on the lease and is checked by the simulation.
 *
 * Injected faults, each of which must violate a property:
 * FAULT=1: a report is sent from counts that aren't sealed.
 * FAULT=2: a command is applied although its batches are committed.
 * FAULT=3: a holder calls with the latest token although it didn't take it.
 * FAULT=4: a holder keeps a token that was refused.
 * FAULT=5: a late batch is added to a sealed window.
 */
#ifndef FAULT
#define FAULT 0
#endif
#ifndef CHANGES
#define CHANGES 2
#endif

#define MAX_TOKEN 3
#define CALLS 3
#define BIT(i) (1 << (i))
#define NONE 255

/* The group: its leader, and the replicated state. */
byte leader = 0;
byte changes = 0;
byte lastBatch = 0;
byte count = 0;
bool isSealed = false;
byte token = 0;
byte owner = NONE;

/* The gateway's batches that were sent. */
byte sent = 0;

/* What each member holds: its batches after the base, its token, its refused tokens, and the report it confirmed. */
byte base[2];
byte collected[2];
byte own[2];
byte refused[2];
bool isConfirmed[2];
byte confirmedToken[2];
byte confirmedCount[2];

/* Calls in flight; a token of 0 is a free place. */
byte callToken[CALLS];
byte callCount[CALLS];
byte callSender[CALLS];

/* The platform: the highest token, and the accepted counts. */
byte highest = 0;
byte accepted = NONE;
/* Which member used each token. */
byte user[MAX_TOKEN + 1];

active proctype group() {
end:
  do
  :: atomic { changes < CHANGES -> leader = 1 - leader; changes++ }
  od
}

active proctype gateway() {
end:
  do
  :: sent < 2 -> sent++
  od
}

proctype member(byte h) {
  byte n;
end:
  do
  /* A delivery: every batch that was sent, after what is committed as far as this member knows. */
  :: atomic { collected[h] < sent -> base[h] = lastBatch; collected[h] = sent }
  /* The commit of a command that was built from an earlier state. */
  :: atomic { leader == h && collected[h] > base[h] ->
       if
       :: (base[h] == lastBatch || FAULT == 2) ->
          if
          :: !isSealed || FAULT == 5 -> count = count + collected[h] - base[h]
          :: else
          fi;
          lastBatch = (collected[h] > lastBatch -> collected[h] : lastBatch)
       :: else
       fi;
       /* The outcome is known or not; if not, the same batches may be proposed again. */
       if
       :: base[h] = lastBatch; collected[h] = lastBatch
       :: skip
       fi }
  :: atomic { leader == h && !isSealed && count > 0 -> isSealed = true }
  :: atomic { leader == h && own[h] == 0 && token < MAX_TOKEN ->
       token++;
       owner = h;
       own[h] = token }
  :: atomic { FAULT == 3 && own[h] == 0 && token > 0 -> own[h] = token; owner = h }
  /* The quorum read, after which the member may stand still before it calls. */
  :: atomic { leader == h && own[h] > 0 && !isConfirmed[h] && (isSealed || (FAULT == 1 && count > 0)) ->
       if
       :: token == own[h] && owner == h ->
          isConfirmed[h] = true;
          confirmedToken[h] = own[h];
          confirmedCount[h] = count
       :: else -> own[h] = 0
       fi }
  :: atomic { isConfirmed[h] ->
       isConfirmed[h] = false;
       n = 0;
       do
       :: n < CALLS && callToken[n] > 0 -> n++
       :: else -> break
       od;
       if
       :: n < CALLS ->
          assert(!(refused[h] & BIT(confirmedToken[h])));
          assert(user[confirmedToken[h]] == 0 || user[confirmedToken[h]] == h + 1);
          user[confirmedToken[h]] = h + 1;
          callToken[n] = confirmedToken[h];
          callCount[n] = confirmedCount[h];
          callSender[n] = h
       :: else
       fi;
       confirmedToken[h] = 0;
       confirmedCount[h] = 0;
       n = 0 }
  od
}

active proctype platform() {
  byte n;
end:
  do
  :: atomic {
       if
       :: callToken[0] > 0 -> n = 0
       :: callToken[1] > 0 -> n = 1
       :: callToken[2] > 0 -> n = 2
       fi;
       if
       :: callToken[n] >= highest ->
          highest = callToken[n];
          assert(accepted == NONE || accepted == callCount[n]);
          assert(callCount[n] <= lastBatch);
          accepted = callCount[n]
       :: else ->
          if
          /* The member reads the answer, unless it is waiting for another call by now. */
          :: !isConfirmed[callSender[n]] ->
             refused[callSender[n]] = refused[callSender[n]] | BIT(callToken[n]);
             if
             :: own[callSender[n]] == callToken[n] && FAULT != 4 -> own[callSender[n]] = 0
             :: else
             fi
          :: skip
          fi
       fi;
       callToken[n] = 0; callCount[n] = 0; callSender[n] = 0; n = 0 }
  od
}

init {
  atomic {
    /* The platform may know a token of an earlier group, whose data was lost. */
    if
    :: highest = 0
    :: highest = 2
    fi;
    run member(0); run member(1)
  }
}
