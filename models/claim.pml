/* A request that is not repeatable is submitted three times with the same
 * Idempotency-Key: once at one entry and twice at another, which writes both
 * in one batch. The store may be down at any call, and the reply to a write
 * may be lost after the write took effect. An entry that was granted the claim
 * may pause or crash before it runs the job.
 *
 * Property: the job runs at most once. */

#define NO_OWNER 0
#define MAX_ATTEMPTS 2

/* Results of a store call. */
#define WRITTEN 1
#define CONFLICT 2
#define UNAVAILABLE 3

byte row = NO_OWNER; /* the request that claimed the key */
byte runs = 0;

inline insert(first, second, result) {
  if
  :: result = UNAVAILABLE /* down: nothing is written */
  :: row == NO_OWNER -> row = first;
     if
     :: result = WRITTEN
     :: result = UNAVAILABLE /* the reply is lost */
     fi
  :: row != NO_OWNER -> result = CONFLICT
  fi
}

inline runJob() {
  assert(runs == 0);
  runs++
}

/* One request, identified by its number; the chart is claim.scxml. */
proctype Request(byte id) {
  byte attempts = 0;
  byte result;
queued:
  attempts++;
#ifdef MUTANT_RUN_BEFORE_CLAIM
  atomic { if :: runJob() fi };
#endif
  atomic { insert(id, id, result) };
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
  :: atomic { row == id -> goto granted }
#ifdef MUTANT_OTHER_ROW_TAKEN_FOR_OWN
  :: atomic { row != NO_OWNER && row != id -> goto granted }
#else
  :: atomic { row != NO_OWNER && row != id -> goto taken }
#endif
  :: atomic { row == NO_OWNER && attempts < MAX_ATTEMPTS -> goto queued }
  :: atomic { row == NO_OWNER && attempts >= MAX_ATTEMPTS ->
       goto refusedAsNotRun }
  :: goto refusedAsNotRun /* the store stays down */
  fi;
granted:
  if
#ifndef MUTANT_RUN_BEFORE_CLAIM
  :: atomic { true -> runJob() }
#endif
  :: skip /* the entry crashes: the key stays claimed, the job never runs */
  fi;
taken:
refusedAsNotRun:
  skip
}

/* Two requests with the same key in one batch of an entry. */
proctype Batch(byte first; byte second) {
  byte result;
  atomic { insert(first, second, result) };
  if
  :: result == WRITTEN -> atomic { runJob() };
#ifdef MUTANT_KEY_TWICE_IN_A_BATCH
     atomic { runJob() }
#else
     run Request(second) /* the duplicate goes into the next batch */
#endif
  :: else -> run Request(first); run Request(second)
  fi
}

init { atomic { run Request(1); run Batch(2, 3) } }
