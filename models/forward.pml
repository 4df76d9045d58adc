/* A job that an entry forwards to owners. A link delivers in order and once
 * until it goes down, which each end notices at a time of its own; after that
 * it delivers nothing. A paused process is one that takes no step for a while.
 *
 * Properties: at most one owner places tasks of the job; the answer "did not
 * run" is given only if no task was ever placed, or each placed one was returned
 * without a start; there is one answer; an owner that has noticed the loss of
 * the forwarder or a cancellation starts nothing more; the job is not offered
 * again when no caller waits. */

#define P 2

/* States of the job at an owner; the chart is ownedjob.scxml. */
#define ABSENT 0
#define RUNNING 1
#define ENDED 2
#define ABANDONED 3

/* States of the job at the forwarder; the chart is forwardedjob.scxml. */
#define OFFERED 0
#define CANCELLING 1
#define ANSWERED 2

mtype = { offer, cancel, refused, succeeded, unknown };

chan toOwner[P] = [3] of { mtype };
chan toForwarder[P] = [2] of { mtype };
bit linkDown[P];

byte owned[P];
bit placed[P];
/* Whether a task of the job has started anywhere. */
bit hasStarted = 0;
bit stopped[P];

byte state = OFFERED;
byte owner = 0;
bit tried[P];
byte answers = 0;
bit saidDidNotRun = 0;
bit callersGone = 0;

inline giveAnswer(didNotRun) {
  answers++;
  assert(answers == 1);
  saidDidNotRun = didNotRun;
  assert(!(saidDidNotRun && hasStarted));
  state = ANSWERED
}

inline offerTo(p) {
  assert(!callersGone);
  tried[p] = 1;
  owner = p;
  if
  :: !linkDown[p] -> toOwner[p]!offer
  :: else -> skip
  fi
}

inline sendCancel(p) {
  if
  :: !linkDown[p] -> toOwner[p]!cancel
  :: else -> skip
  fi
}

#define IS_CURRENT(p) (state != ANSWERED && p == owner)

#ifdef MUTANT_OFFERED_AGAIN_WHILE_CANCELLING
#define MAY_OFFER(p) (!tried[1 - p])
#else
#define MAY_OFFER(p) (state == OFFERED && !tried[1 - p])
#endif

inline handleRefusal(p) {
  if
  :: MAY_OFFER(p) -> offerTo((1 - p))
  :: true -> giveAnswer(1)
  fi
}

inline handleLoss(p) {
#ifdef MUTANT_OFFERED_AGAIN_AFTER_LOSS
  if
  :: !tried[1 - p] -> offerTo((1 - p))
  :: else -> giveAnswer(0)
  fi
#else
  giveAnswer(0)
#endif
}

proctype Forwarder() {
  byte p;
  bit lossNoticed[P];
  atomic { select(p : 0 .. P - 1); offerTo(p) }
  do
  :: atomic { select(p : 0 .. P - 1); toForwarder[p]?[refused] &&
       !lossNoticed[p] ->
       toForwarder[p]?refused;
       if
       :: IS_CURRENT(p) -> handleRefusal(p)
       :: else -> skip
       fi }
  :: atomic { select(p : 0 .. P - 1); toForwarder[p]?[succeeded] &&
       !lossNoticed[p] ->
       toForwarder[p]?succeeded;
       if
       :: IS_CURRENT(p) -> giveAnswer(0)
       :: else -> skip
       fi }
  :: atomic { select(p : 0 .. P - 1); toForwarder[p]?[unknown] &&
       !lossNoticed[p] ->
       toForwarder[p]?unknown;
       if
       :: IS_CURRENT(p) -> giveAnswer(0)
       :: else -> skip
       fi }
  /* The last caller leaves. */
  :: atomic { state == OFFERED -> state = CANCELLING; callersGone = 1;
       sendCancel(owner) }
  /* The deadline passes. */
  :: atomic { state != ANSWERED -> sendCancel(owner); giveAnswer(0) }
  :: atomic { select(p : 0 .. P - 1); linkDown[p] && !lossNoticed[p] ->
       lossNoticed[p] = 1;
       if
       :: state != ANSWERED && p == owner -> handleLoss(p)
       :: else -> skip
       fi }
  od
}

inline endWith(p, how) {
  owned[p] = ENDED;
  placed[p] = 0;
  if
  :: !linkDown[p] -> toForwarder[p]!how
  :: else -> skip
  fi
}

proctype Owner(byte p) {
  bit mayHaveRun = 0;
  bit lossNoticed = 0;
  do
  :: atomic { toOwner[p]?[offer] && !lossNoticed -> toOwner[p]?offer;
       if
       :: endWith(p, refused)
       :: owned[p] = RUNNING
       fi }
  :: atomic { toOwner[p]?[cancel] && !lossNoticed -> toOwner[p]?cancel;
       if
       :: owned[p] == RUNNING && mayHaveRun -> stopped[p] = 1;
            endWith(p, unknown)
       :: owned[p] == RUNNING && !mayHaveRun -> stopped[p] = 1;
            endWith(p, refused)
       :: else -> skip
       fi }
  :: atomic { owned[p] == RUNNING && !placed[p] && !mayHaveRun ->
       assert(!stopped[p]);
       placed[p] = 1;
       assert(!(placed[0] && placed[1])) }
  /* All placed tasks come back without a start. */
  :: atomic { owned[p] == RUNNING && placed[p] && !mayHaveRun -> placed[p] = 0;
       endWith(p, refused) }
  :: atomic { owned[p] == RUNNING && placed[p] && !mayHaveRun ->
       mayHaveRun = 1; hasStarted = 1; assert(!saidDidNotRun) }
#ifdef MUTANT_REFUSES_AFTER_A_START
  :: atomic { owned[p] == RUNNING && mayHaveRun -> endWith(p, refused) }
#endif
  :: atomic { owned[p] == RUNNING && mayHaveRun ->
       if
       :: endWith(p, succeeded)
       :: endWith(p, unknown)
       fi }
  :: atomic { linkDown[p] && !lossNoticed -> lossNoticed = 1; stopped[p] = 1;
#ifndef MUTANT_OWNER_OUTLIVES_FORWARDER
       if
       :: owned[p] == RUNNING -> owned[p] = ABANDONED; placed[p] = 0
       :: else -> skip
       fi
#endif
     }
  od
}

proctype Network() {
  byte p;
  mtype lost;
  do
  :: atomic { select(p : 0 .. P - 1); !linkDown[p] -> linkDown[p] = 1;
       do
       :: toOwner[p]?lost
       :: toForwarder[p]?lost
       :: empty(toOwner[p]) && empty(toForwarder[p]) -> break
       od }
  od
}

init { atomic { run Forwarder(); run Owner(0); run Owner(1); run Network() } }
