/*
 * Model of leases and confirmations: one entry, two control members of which one is leader, discrete time.
 *
 * Safety: an entry with a valid lease applies at least the revision that is reported as in force
 * everywhere, and an entry that restarts without state never applies a lower revision than before.
 *
 * Messages may be delayed without bound, lost and duplicated. A deposed leader does not know that it was
 * deposed, so it may still send a grant that a majority confirmed earlier. The model follows
 * src/distribution; what the code calls fenced is called barred here.
 *
 * Deliberate faults: -DFAULT=1 a new leader does not wait for leases that its predecessor may have granted;
 * -DFAULT=2 the removal of an entry does not fence it from leases; -DFAULT=3 leases are granted without
 * confirmation of leadership; -DFAULT=4 a lease runs from the response instead of the request.
 */
#ifndef FAULT
#define FAULT 0
#endif
#define LEASE 2
#ifndef MAX_TIME
#define MAX_TIME 5
#endif
#ifndef MAX_REVISION
#define MAX_REVISION 2
#endif
#ifndef MAX_TERM
#define MAX_TERM 2
#endif
#ifndef MAX_INCARNATION
#define MAX_INCARNATION 1
#endif

byte now = 1;

/* Committed state; the number of the actual leader is `real`. */
byte term = 1;
byte real = 0;
byte revision = 1;
byte inForce = 0;
byte member = 0;

/* State of the entry; `highest` is the highest revision that any of its incarnations applied. */
byte incarnation = 1;
byte applied = 0;
byte leaseEnd = 0;
byte highest = 0;

/* State of the control members: the view of each, and the poll that it handles. */
byte ownTerm[2];
byte since[2];
byte viewRevision[2];
byte viewMember[2];
byte grantedAt[2];
byte confirmed[2];
bool barred[2];
bool waiting[2];
bool quorum[2];
byte arrivedAt[2];
byte waitSent[2];
byte waitIncarnation[2];
byte waitRevision[2];
byte confirmProposal[2];
bool lapseProposal[2];

/* Messages in flight. */
bool polled[2];
byte pollSent[2];
byte pollIncarnation[2];
byte pollRevision[2];
bool answered[2];
byte answerSent[2];
byte answerIncarnation[2];
byte answerRevision[2];

#define LEADS(i) (ownTerm[i] == term)
#if FAULT == 1
#define LAPSED(i) (grantedAt[i] == 0 || now >= grantedAt[i] + LEASE)
#else
#define LAPSED(i) (now >= (grantedAt[i] > 0 -> grantedAt[i] : since[i]) + LEASE)
#endif

/* Whether the entry in the member's view has confirmed the view's revision or holds no lease. */
#define OBEYED(i) (viewMember[i] == 0 || confirmed[i] >= viewRevision[i] || LAPSED(i))
#if FAULT == 2
#define BARRED(i) false
#else
#define BARRED(i) barred[i]
#endif

/* Unused fields are cleared, so that equivalent states are stored only once. */
inline clearWaiting(i) {
  waiting[i] = false;
  quorum[i] = false;
  arrivedAt[i] = 0;
  waitSent[i] = 0;
  waitIncarnation[i] = 0;
  waitRevision[i] = 0
}

inline clearPoll(i) {
  polled[i] = false;
  pollSent[i] = 0;
  pollIncarnation[i] = 0;
  pollRevision[i] = 0
}

inline clearAnswer(i) {
  answered[i] = false;
  answerSent[i] = 0;
  answerIncarnation[i] = 0;
  answerRevision[i] = 0
}

inline lead(i) {
  ownTerm[i] = term;
  since[i] = now;
  viewRevision[i] = revision;
  viewMember[i] = member;
  grantedAt[i] = 0;
  confirmed[i] = 0;
  barred[i] = false;
  clearWaiting(i);
  confirmProposal[i] = 0;
  lapseProposal[i] = false
}

inline forget(i) {
  grantedAt[i] = 0;
  confirmed[i] = 0;
  barred[i] = false;
  lapseProposal[i] = false
}

inline receivePoll(i) {
  waiting[i] = true;
  quorum[i] = false;
  arrivedAt[i] = now;
  waitSent[i] = pollSent[i];
  waitIncarnation[i] = pollIncarnation[i];
  waitRevision[i] = pollRevision[i];
  if
  :: pollIncarnation[i] == viewMember[i] && pollRevision[i] > confirmed[i] ->
    confirmed[i] = pollRevision[i]
  :: else
  fi;
  if
  :: clearPoll(i)
  :: skip /* the poll is duplicated */
  fi
}

inline grant(i) {
  if
  :: waitIncarnation[i] == viewMember[i] && waitRevision[i] <= viewRevision[i] && !BARRED(i) ->
    if
    :: arrivedAt[i] > grantedAt[i] -> grantedAt[i] = arrivedAt[i]
    :: else
    fi;
    answered[i] = true;
    answerSent[i] = waitSent[i];
    answerIncarnation[i] = waitIncarnation[i];
    answerRevision[i] = viewRevision[i]
  :: else
  fi;
  clearWaiting(i)
}

inline receiveAnswer(i) {
  if
  :: answerIncarnation[i] == incarnation && answerRevision[i] >= applied ->
    assert(answerRevision[i] >= highest || applied > 0);
    applied = answerRevision[i];
    if
    :: applied > highest -> highest = applied
    :: else
    fi;
#if FAULT == 4
    leaseEnd = now + LEASE
#else
    if
    :: answerSent[i] + LEASE > leaseEnd -> leaseEnd = answerSent[i] + LEASE
    :: else
    fi
#endif
  :: else
  fi;
  if
  :: clearAnswer(i)
  :: skip
  fi
}

/* Possible steps of a control member; a deposed leader continues until it is notified. */
inline act(i) {
  if
  :: atomic { polled[i] -> receivePoll(i) }
#if FAULT == 3
  :: atomic { waiting[i] -> quorum[i] = true }
#else
  :: atomic { waiting[i] && !quorum[i] && LEADS(i) -> quorum[i] = true }
#endif
  :: atomic { waiting[i] && quorum[i] -> grant(i) }
  :: atomic {
    viewRevision[i] > inForce && confirmProposal[i] != viewRevision[i] && OBEYED(i) ->
    confirmProposal[i] = viewRevision[i]
  }
  :: atomic {
    LEADS(i) && confirmProposal[i] > inForce -> inForce = confirmProposal[i]
  }
  :: atomic {
    viewMember[i] > 0 && !lapseProposal[i] && LAPSED(i) ->
    lapseProposal[i] = true;
    barred[i] = true
  }
  :: atomic {
    LEADS(i) && lapseProposal[i] ->
    member = 0;
    viewMember[i] = 0;
    forget(i)
  }
  :: atomic {
    LEADS(i) && viewMember[i] == 0 ->
    member = incarnation;
    viewMember[i] = incarnation;
    forget(i)
  }
  :: atomic { LEADS(i) && revision < MAX_REVISION -> revision++; viewRevision[i] = revision }
  :: atomic { polled[i] -> clearPoll(i) }
  :: atomic { answered[i] -> receiveAnswer(i) }
  :: atomic { answered[i] -> clearAnswer(i) }
  fi
}

inline poll(i) {
  polled[i] = true;
  pollSent[i] = now;
  pollIncarnation[i] = incarnation;
  pollRevision[i] = applied
}

active proctype site() {
  atomic { lead(0) }
  do
  /* An entry with a valid lease must apply the revision that is in force everywhere. */
  :: atomic { leaseEnd > now && applied < inForce -> assert(false) }
  :: atomic {
    now < MAX_TIME ->
    now++;
    if
    :: leaseEnd <= now -> leaseEnd = 0
    :: else
    fi
  }
  :: atomic { !polled[0] -> poll(0) }
  :: atomic { !polled[1] && term > 1 -> poll(1) }
  :: atomic { applied > 0 && applied < revision -> applied = revision; highest = revision }
  :: atomic {
    incarnation < MAX_INCARNATION ->
    incarnation++;
    applied = 0;
    leaseEnd = 0
  }
  :: atomic { term < MAX_TERM -> term++; real = 1 - real; lead(real) }
  :: act(0)
  :: act(1)
  :: now == MAX_TIME -> break
  od
}
