/*
 * Model of the claim protocol for one key: two holders, five entry processes, three committed epochs.
 *
 * Epoch 1 has the members 0, 1 and 2. In epoch 2 process 3 replaces process 2, which may have crashed or may
 * still run without knowing of the new epoch. In epoch 3 process 4 replaces process 1. Processes 3 and 4
 * start without state, as after a restart. All members are in different zones, so they are the claimants of
 * the key. Each process and each holder may learn of a committed epoch at any time or never, and may stop at
 * any point. A report or claim may be lost at any point; the model represents a loss by not taking the step.
 *
 * With EPOCHS=2 each holder claims in both epochs. With EPOCHS=3, to bound the search, one holder claims in
 * epoch 2 and the other in epoch 3.
 *
 * Checked property: the two holders are never both granted the key within the lifetime of a claim.
 *
 * Injected faults, each of which must violate the property:
 * FAULT=1: a process reports its claims without leaving the earlier epoch.
 * FAULT=2: a process answers in a new epoch without fetching earlier claims.
 * FAULT=3: open epochs are ignored.
 * FAULT=4: a holder counts claimants that recorded in different epochs.
 * FAULT=5: the members that reported need not be a majority of the basis.
 */
#ifndef FAULT
#define FAULT 0
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif

#define PROCESSES 5
#define BIT(i) (1 << (i))

/* Members of an epoch, as a bit set. */
#define MEMBERS(e) ((e) == 1 -> 7 : ((e) == 2 -> 11 : 25))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + (((s) >> 4) & 1))
#define MAJORITY(e, s) (COUNT((s) & MEMBERS(e)) >= 2)

/* Each holder has one token per epoch. */
#define TOKEN(h, e) BIT((h) * 3 + (e) - 1)
#define TOKENS_OF(h) (7 << ((h) * 3))

/* Whether a holder claims in an epoch. */
#if EPOCHS == 3
#define CLAIMS_IN(h, e) ((e) == (h) + 2)
#else
#define CLAIMS_IN(h, e) true
#endif

byte agreed = 1;

/* State of each entry process: the epoch entered, whether it is ready in it, and the tokens it knows. */
byte entered[PROCESSES];
bool ready[PROCESSES];
byte known[PROCESSES];
/* The latest earlier epoch in which it was ready, and later epochs for which it reported unready. */
byte basis[PROCESSES];
byte open[PROCESSES];
/* Epochs for which it reports, and the tokens and the basis it had on entering epochs 2 and 3. */
byte reports[PROCESSES];
byte known2[PROCESSES];
byte known3[PROCESSES];
byte basis2[PROCESSES];

/* State of each holder: its epoch, the claimants that recorded its token, whether it was granted the key. */
byte view[2];
byte accepted[2];
bool granted[2];

/* Process n enters epoch e. From then on its knowledge of earlier epochs is final, so it makes no difference
   whether it reports immediately or later. It may also never report. */
inline enter(n, e) {
  if
  :: ready[n] -> basis[n] = entered[n]; open[n] = 0
  :: !ready[n] && (reports[n] & BIT(entered[n])) -> open[n] = open[n] | BIT(entered[n])
  :: else
  fi;
  if
  :: reports[n] = reports[n] | BIT(e)
  :: skip
  fi;
  entered[n] = e;
  ready[n] = (FAULT == 2 && (MEMBERS(e) & BIT(n)));
  if
  :: e == 2 -> known2[n] = known[n]; basis2[n] = basis[n]
  :: else -> known3[n] = known[n]
  fi
}

/* Whether process x reports for epoch e. With FAULT=1 it may report without having left epoch e - 1. */
#define REPORTS(x, e) ((reports[x] & BIT(e)) || (FAULT == 1 && entered[x] == (e) - 1 && ready[x]))
#define BASIS(x, e) (FAULT == 1 && entered[x] < (e) -> entered[x] : ((e) == 2 -> basis2[x] : basis[x]))
#define KNOWN(x, e) (FAULT == 1 && entered[x] < (e) -> known[x] : ((e) == 2 -> known2[x] : known3[x]))
#define OPEN2(x, e) ((e) == 3 && entered[x] == 3 && (open[x] & BIT(2)))

/* Process n receives the report of process x for its epoch, if x sends one, or loses it. */
inline hear(n, x) {
  if
  :: REPORTS(x, entered[n]) ->
     heard = heard | BIT(x);
     learnt = learnt | KNOWN(x, entered[n]);
     if
     :: BASIS(x, entered[n]) > best -> best = BASIS(x, entered[n]); bestHeard = BIT(x)
     :: BASIS(x, entered[n]) == best -> bestHeard = bestHeard | BIT(x)
     :: else
     fi;
     if
     :: OPEN2(x, entered[n]) -> isOpen = true
     :: else
     fi
  :: skip
  fi
}

#define BASIS_HEARD (best > 0 && (FAULT == 5 || MAJORITY(best, bestHeard)))
#define OPEN_HEARD (FAULT == 3 || !isOpen || best >= 2 || MAJORITY(2, heard))

active proctype agreement() {
  do
  :: agreed < EPOCHS -> agreed++
  :: agreed == EPOCHS -> break
  od
}

proctype entry(byte n) {
  byte heard;
  byte learnt;
  byte best;
  byte bestHeard;
  bool isOpen;
end:
  do
  :: atomic { entered[n] < agreed ->
       if
       :: enter(n, agreed)
       :: entered[n] + 1 < agreed && entered[n] > 0 -> enter(n, entered[n] + 1)
       :: entered[n] == 0 && agreed == 3 -> enter(n, 2)
       fi }
  :: atomic { !ready[n] && entered[n] > 1 && (MEMBERS(entered[n]) & BIT(n)) ->
       hear(n, 0); hear(n, 1); hear(n, 2); hear(n, 3); hear(n, 4);
       if
       :: (heard & BIT(n)) && BASIS_HEARD && OPEN_HEARD ->
          known[n] = known[n] | learnt;
          ready[n] = true
       :: else
       fi;
       heard = 0; learnt = 0; best = 0; bestHeard = 0; isOpen = false }
  od
}

proctype holder(byte h) {
  byte n;
end:
  do
  :: atomic { !granted[h] && view[h] < agreed && (EPOCHS < 3 || h == 1 || view[h] < 2) ->
       /* The earlier token is never used again, and the claimants that recorded it are not counted. */
       if
       :: view[h] = agreed
       :: view[h] + 1 < agreed -> view[h]++
       :: view[h] + 2 < agreed -> view[h] = view[h] + 2
       fi;
       if
       :: FAULT != 4 -> accepted[h] = 0
       :: else
       fi }
  :: atomic { !granted[h] && view[h] > 0 && CLAIMS_IN(h, view[h]) ->
       if
       :: n = 0
       :: n = 1
       :: n = 2
       :: n = 3
       :: n = 4
       fi;
       if
       :: (MEMBERS(view[h]) & BIT(n)) && ready[n] && entered[n] == view[h] && !(known[n] & ~TOKENS_OF(h)) ->
          /* The claim lists the superseded tokens, which the claimant discards. */
          known[n] = (known[n] & ~TOKENS_OF(h)) | TOKEN(h, view[h]);
          accepted[h] = accepted[h] | BIT(n)
       :: else
       fi;
       n = 0 }
  :: atomic { !granted[h] && view[h] > 0 && COUNT(accepted[h]) >= 2 ->
       granted[h] = true;
       assert(!granted[1 - h]) }
#ifdef WITHDRAW
  /* A claimant is notified that the superseded tokens are withdrawn. */
  :: atomic { !granted[h] && view[h] > 1 ->
       if
       :: n = 0
       :: n = 1
       :: n = 2
       :: n = 3
       :: n = 4
       fi;
       known[n] = known[n] & ~(TOKENS_OF(h) & ~TOKEN(h, view[h]));
       n = 0 }
#endif
  od
}

init {
  atomic {
    entered[0] = 1; ready[0] = true;
    entered[1] = 1; ready[1] = true;
    entered[2] = 1; ready[2] = true;
    run entry(0); run entry(1); run entry(2); run entry(3);
#if EPOCHS == 3
    run entry(4);
#endif
    run holder(0); run holder(1)
  }
}
