/* A request that is not repeatable, under one Idempotency-Key: submitted at
 * two entries, and twice at the first, which gathers both in one batch. The
 * store may be down at any call, and the reply to a write may be lost after
 * it took effect. An entry that was granted the claim may pause or crash
 * before it runs the job.
 *
 * Promise: the job runs at most once. */

#define NOBODY 0
#define MAX_ATTEMPTS 2

/* Results of a call of the store. */
#define WRITTEN 1
#define CONFLICT 2
#define UNAVAILABLE 3

byte row = NOBODY; /* the request that owns the key */
byte runs = 0;

inline insert(first, second, result) {
  if
  :: result = UNAVAILABLE /* down: nothing is written */
  :: row == NOBODY -> row = first;
     if
     :: result = WRITTEN
     :: result = UNAVAILABLE /* the reply is lost */
     fi
  :: row != NOBODY -> result = CONFLICT
  fi
}

inline runJob() {
  assert(runs == 0);
  runs++
}

/* One request with its own number; the chart is claim.scxml. */
proctype Request(byte me) {
  byte attempts = 0;
  byte result;
queued:
  attempts++;
#ifdef MUTANT_RUN_BEFORE_CLAIM
  atomic { if :: runJob() fi };
#endif
  atomic { insert(me, me, result) };
  if
  :: result == WRITTEN -> goto granted
  :: result == CONFLICT -> goto reading
#ifdef MUTANT_NO_READ_BACK
  :: result == UNAVAILABLE -> goto granted
#else
  :: result == UNAVAILABLE -> goto reading
#endif
  fi;
reading:
  if
  :: atomic { row == me -> goto granted }
#ifdef MUTANT_OTHER_ROW_TAKEN_FOR_OWN
  :: atomic { row != NOBODY && row != me -> goto granted }
#else
  :: atomic { row != NOBODY && row != me -> goto taken }
#endif
  :: atomic { row == NOBODY && attempts < MAX_ATTEMPTS -> goto queued }
  :: atomic { row == NOBODY && attempts >= MAX_ATTEMPTS -> goto refusedAsNotRun }
  :: goto refusedAsNotRun /* the store stays down */
  fi;
granted:
  if
#ifndef MUTANT_RUN_BEFORE_CLAIM
  :: atomic { true -> runJob() }
#endif
  :: skip /* the entry crashes: the key stays taken, nobody runs it */
  fi;
taken:
refusedAsNotRun:
  skip
}

/* Two requests with the same key that one entry gathers together. */
proctype Batch(byte first; byte second) {
  byte result;
  atomic { insert(first, second, result) };
  if
  :: result == WRITTEN -> atomic { runJob() };
#ifdef MUTANT_KEY_TWICE_IN_A_BATCH
     atomic { runJob() }
#else
     run Request(second) /* the repetition goes into the next batch */
#endif
  :: else -> run Request(first); run Request(second)
  fi
}

init { atomic { run Request(1); run Batch(2, 3) } }
