/* An agent's control of the runs at one backend server, and an entry that
 * places a task again, at this server or elsewhere. Start orders may be lost,
 * answered late or not at all, carried out late, and arrive more than once; an
 * order that is never sent, because its connection was refused, is known as
 * such. A hold names the agent's token, and its reply is a snapshot that may
 * arrive late. The server may start again under its name; the calls in progress
 * end with it. Its lease lapses once no order has renewed it for long enough,
 * which voids the orders on their way, since they name their deadlines. It may
 * also announce or deregister at any time, and another writer may announce it.
 *
 * Properties: no two runs of a task at the same time; never more runs at the
 * server than it has room for; a task of which the agent said that it was not
 * started, and of which the caller was told that it did not run, never starts.
 *
 * Verified within two bounds: one task of two runs and three tokens, and two
 * tasks of one run and two tokens; a server with room for one run, and two
 * instances of it. */

/* T tasks, R runs of each, K tokens. */
#ifdef TWO_TASKS
#define T 2
#define R 1
#define K 2
#else
#define T 1
#define R 2
#define K 3
#endif
#define CAPACITY 1
#define X(t, r) ((t) * R + (r))
#define XK(t, r, k) (X(t, r) * K + (k))

/* States of a run at the agent; the chart is run.scxml. */
#define NONE 0
#define WAITING 1
#define STARTING 2
#define UNCONFIRMED 3
#define RUNNING 4
#define STOPPING 5
#define USED(t) (st[t] >= STARTING)

/* The first statement of an atomic step: chooses a task, run or order. */
#ifdef TWO_TASKS
#define PICK_TASK(guard0, guard1) if :: guard0 -> t = 0 :: guard1 -> t = 1 fi
#define PICK_ACTIVE if \
  :: srv[0] == ACTIVE -> t = 0 :: srv[1] == ACTIVE -> t = 1 fi
#define PICK_ORDER if \
  :: startOrder[0] -> t = 0; k = 0 :: startOrder[1] -> t = 0; k = 1 \
  :: startOrder[2] -> t = 1; k = 0 :: startOrder[3] -> t = 1; k = 1 fi
#define USED_COUNT (USED(0) + USED(1))
#define ACTIVE_COUNT ((srv[0] == ACTIVE) + (srv[1] == ACTIVE))
#define IS_ACTIVE(t) (srv[t] == ACTIVE)
#define IS_ORDERED (USED(0) && orderToken[0] == token || \
                    USED(1) && orderToken[1] == token)
#else
#define PICK_TASK(guard0, guard1) guard0
#define PICK_ACTIVE if \
  :: srv[0] == ACTIVE -> r = 0 :: srv[1] == ACTIVE -> r = 1 fi
#define PICK_ORDER if \
  :: startOrder[0] -> r = 0; k = 0 :: startOrder[1] -> r = 0; k = 1 \
  :: startOrder[2] -> r = 0; k = 2 :: startOrder[3] -> r = 1; k = 0 \
  :: startOrder[4] -> r = 1; k = 1 :: startOrder[5] -> r = 1; k = 2 fi
#define USED_COUNT USED(0)
#define ACTIVE_COUNT ((srv[0] == ACTIVE) + (srv[1] == ACTIVE))
#define IS_ACTIVE(t) (srv[0] == ACTIVE || srv[1] == ACTIVE)
#define IS_ORDERED (USED(0) && orderToken[0] == token)
#endif

/* Where the entry has placed a task. */
#define UNPLACED 0
#define AT_SERVER 1
#define ELSEWHERE 2
#define CLOSED 3

/* A run at the server. */
#define ABSENT 0
#define ACTIVE 1
#define ENDED 2

/* The entry. */
byte where[T];
byte nextRun[T];
bit mayHaveRun[T];
bit hasRun[T];
bit saidNotRun[T];
bit other[T];

/* The agent. */
byte st[T];
byte number[T];
byte orderToken[T];
bit confirmed[T];
byte token = 0;
bit leaving = 0;
bit lapseKnown = 0;

/* Messages: start orders; the answer to the current order (1 yes, 2 no); the
 * hold (1 sent, 2 replied) with its snapshot. */
bit startOrder[T * R * K];
byte answer[T];
byte hold = 0;
byte holdToken = 0;
bit confirmedBefore[T];
bit listedActive[T * R];
bit listedEnded[T * R];

/* The server. */
byte srv[T * R];
byte minRun[T];
byte highToken = 0;
byte instance = 0;
bit deregistered = 0;
byte knownInstance = 0;
byte listedInstance = 0;

inline endRun(t, mayHave) {
  st[t] = NONE;
  mayHaveRun[t] = mayHaveRun[t] || mayHave;
  confirmed[t] = 0;
  confirmedBefore[t] = 0;
  answer[t] = 0;
  orderToken[t] = 0;
  where[t] = UNPLACED
}

/* All runs are given up at once. */
inline markLost() {
  for (i : 0 .. T - 1) {
    if
    :: st[i] == WAITING -> endRun(i, 0)
    :: USED(i) -> endRun(i, 1)
    :: else -> skip
    fi
  }
  i = 0
}

inline stopAll() {
  for (i : 0 .. T - 1) {
    if
    :: st[i] == WAITING -> endRun(i, 0)
    :: USED(i) -> st[i] = STOPPING
    :: else -> skip
    fi
  }
  i = 0
}

inline beginRun(t, r) {
  assert(!saidNotRun[t]);
  assert(!other[t] && !IS_ACTIVE(t));
  srv[X(t, r)] = ACTIVE;
  hasRun[t] = 1;
  assert(ACTIVE_COUNT <= CAPACITY)
}

inline endAtServer(t, r) {
  srv[X(t, r)] = ENDED;
  if
  :: minRun[t] <= r -> minRun[t] = r + 1
  :: else -> skip
  fi
}

/* The answer may be lost, and one that is not awaited is dropped. */
inline giveAnswer(t, r, k, value) {
  if
  :: USED(t) && number[t] == r && orderToken[t] == k -> answer[t] = value
  :: skip
  fi
}

inline deliverStart(t, r, k) {
  /* A copy of the order may follow. */
  if
  :: startOrder[XK(t, r, k)] = 0
  :: skip
  fi;
  if
  :: k < highToken -> giveAnswer(t, r, k, 2)
  :: k >= highToken && srv[X(t, r)] == ACTIVE -> highToken = k;
       giveAnswer(t, r, k, 1)
  :: k >= highToken && srv[X(t, r)] != ACTIVE && r < minRun[t] ->
       highToken = k; giveAnswer(t, r, k, 2)
  :: k >= highToken && srv[X(t, r)] != ACTIVE && r >= minRun[t] ->
       highToken = k; beginRun(t, r); giveAnswer(t, r, k, 1)
  fi
}

inline sendStart(t) {
  st[t] = STARTING;
  orderToken[t] = token;
  lapseKnown = 0;
  if
  :: startOrder[XK(t, number[t], token)] = 1
#ifdef MUTANT_ORDER_SENT_TWICE
  /* The connection of a second copy is refused. */
  :: startOrder[XK(t, number[t], token)] = 1; endRun(t, 0)
#endif
  /* The connection is refused, so that the order is never sent. */
  :: endRun(t, 0)
  fi
}

inline sendHold() {
  hold = 1;
  holdToken = token;
  lapseKnown = 0;
  for (i : 0 .. T - 1) { confirmedBefore[i] = confirmed[i] }
  i = 0
}

inline takeSnapshot() {
  hold = 2;
  if
  :: holdToken > highToken -> highToken = holdToken
  :: else -> skip
  fi;
  for (i : 0 .. T * R - 1) {
    listedActive[i] = (srv[i] == ACTIVE);
    listedEnded[i] = (srv[i] == ENDED)
  }
  i = 0;
  listedInstance = instance
}

inline clearHold() {
  hold = 0;
  holdToken = 0;
  for (i : 0 .. T * R - 1) { listedActive[i] = 0; listedEnded[i] = 0 }
  for (i : 0 .. T - 1) { confirmedBefore[i] = 0 }
  i = 0
}

#ifdef MUTANT_LIST_TAKEN_FOR_NEWER_RUNS
#define IS_MISSING_STARTED(t) (confirmed[t])
#else
#define IS_MISSING_STARTED(t) (confirmed[t] && confirmedBefore[t])
#endif
#ifdef MUTANT_LIST_TAKEN_WITHOUT_FENCE
#define IS_VOID(t) (orderToken[t] <= holdToken)
#else
#define IS_VOID(t) (orderToken[t] < holdToken)
#endif

inline readLists() {
  if
  :: listedInstance != knownInstance -> knownInstance = listedInstance;
#ifdef MUTANT_REBIRTH_ENDS_ALL
       markLost()
#else
       stopAll()
#endif
  :: else -> skip
  fi;
  for (t : 0 .. T - 1) {
    if
    :: !USED(t) -> skip
    :: USED(t) && listedActive[X(t, number[t])] ->
         if
         :: st[t] == STARTING || st[t] == UNCONFIRMED -> st[t] = RUNNING;
              confirmed[t] = 1; answer[t] = 0
         :: else -> skip
         fi
    :: USED(t) && listedEnded[X(t, number[t])] -> endRun(t, 1)
    :: USED(t) && !listedActive[X(t, number[t])] && !listedEnded[X(t, number[t])] ->
         if
         :: IS_MISSING_STARTED(t) -> endRun(t, 1)
         :: !IS_MISSING_STARTED(t) && st[t] == UNCONFIRMED && IS_VOID(t) ->
              st[t] = WAITING; answer[t] = 0
         :: !IS_MISSING_STARTED(t) && (st[t] == RUNNING || st[t] == STOPPING) &&
            IS_VOID(t) -> endRun(t, 1)
         :: else -> skip
         fi
    fi
  }
  clearHold();
  t = 0
}

#define MAY_BE_PLACED(t) (where[t] == UNPLACED && nextRun[t] < R)
#define DID_NOT_RUN(t) \
  (where[t] == UNPLACED && !mayHaveRun[t] && nextRun[t] > 0)
#define MAY_START(t) \
  (st[t] == WAITING && !leaving && USED_COUNT < CAPACITY)
#define MAY_STOP(t) (USED(t) && st[t] != STOPPING)
#define STOP_ARRIVES_FIRST(t) (st[t] == STOPPING && \
  srv[X(t, number[t])] == ABSENT && minRun[t] <= number[t])

active proctype System() {
  byte t, r, k, i;
  do
  /* The entry. */
  :: atomic { PICK_TASK(MAY_BE_PLACED(0), MAY_BE_PLACED(1));
       if
       :: !leaving && st[t] == NONE -> where[t] = AT_SERVER; st[t] = WAITING;
            number[t] = nextRun[t]
       :: where[t] = ELSEWHERE; other[t] = 1;
            assert(!IS_ACTIVE(t))
       fi;
       nextRun[t]++; t = 0 }
  :: atomic { PICK_TASK(other[0], other[1]); other[t] = 0;
       where[t] = CLOSED; t = 0 }
  :: atomic { PICK_TASK(DID_NOT_RUN(0), DID_NOT_RUN(1)); assert(!hasRun[t]); saidNotRun[t] = 1;
       where[t] = CLOSED;
       t = 0 }

  /* The agent. */
  :: atomic { PICK_TASK(MAY_START(0), MAY_START(1)); sendStart(t); t = 0 }
  :: atomic { PICK_TASK(st[0] == WAITING, st[1] == WAITING); endRun(t, 0); t = 0 }
  :: atomic { PICK_TASK(answer[0] == 1, answer[1] == 1);
       if
       :: st[t] == STARTING -> st[t] = RUNNING; confirmed[t] = 1
       :: else -> skip
       fi;
       answer[t] = 0; t = 0 }
  :: atomic { PICK_TASK(answer[0] == 2, answer[1] == 2);
#ifdef MUTANT_REJECTION_BELIEVED
       if
       :: st[t] == STARTING || st[t] == STOPPING -> endRun(t, 0)
       :: else -> answer[t] = 0
       fi;
#else
       if
       :: st[t] == STARTING -> st[t] = UNCONFIRMED
       :: else -> skip
       fi;
       answer[t] = 0;
#endif
       t = 0 }
  :: atomic { PICK_TASK(st[0] == STARTING, st[1] == STARTING); st[t] = UNCONFIRMED;
       t = 0 }
  :: atomic { PICK_TASK(MAY_STOP(0), MAY_STOP(1));
       st[t] = STOPPING; t = 0 }
#ifdef MUTANT_STOP_TIMER_IS_PROOF
  :: atomic { PICK_TASK(st[0] == STOPPING, st[1] == STOPPING); endRun(t, 1);
       t = 0 }
#endif
  :: atomic { hold == 0 && USED_COUNT > 0 -> sendHold() }
  :: atomic { token < K - 1 && (IS_ORDERED) -> clearHold(); token++;
       sendHold() }
  :: atomic { hold != 0 -> clearHold() }
  :: atomic { hold == 2 -> readLists() }
  :: atomic { lapseKnown -> lapseKnown = 0; markLost() }
#ifdef MUTANT_REFUSED_CONNECTION_IS_DEATH
  /* The connection of a hold is refused. */
  :: atomic { hold == 0 && USED_COUNT > 0 -> markLost() }
#endif
#ifdef MUTANT_SILENCE_IS_DEATH
  :: atomic { USED_COUNT > 0 -> markLost() }
#endif
  :: atomic { !leaving -> leaving = 1;
       for (t : 0 .. T - 1) {
         if
         :: st[t] == WAITING -> endRun(t, 0)
         :: else -> skip
         fi
       }
       t = 0 }
#ifdef MUTANT_DEREGISTRATION_IS_DEATH
  :: atomic { leaving && !deregistered -> deregistered = 1; markLost() }
#endif
#ifdef MUTANT_ANNOUNCEMENT_IS_DEATH
  /* Anybody may announce a later instance. */
  :: atomic { !deregistered -> deregistered = 1; markLost() }
#endif

  /* The server and the network. */
  :: atomic { PICK_ORDER;
       deliverStart(t, r, k); t = 0; r = 0; k = 0 }
  :: atomic { PICK_ORDER;
       startOrder[XK(t, r, k)] = 0; t = 0; r = 0; k = 0 }
  :: atomic { PICK_ACTIVE; endAtServer(t, r); t = 0; r = 0 }
  /* A stop that arrives before the run's start order. */
  :: atomic { PICK_TASK(STOP_ARRIVES_FIRST(0),
       STOP_ARRIVES_FIRST(1));
       minRun[t] = number[t] + 1; t = 0 }
  :: atomic { hold == 1 -> takeSnapshot() }
  :: atomic { instance == 0 -> instance = 1; highToken = 0;
       for (i : 0 .. T * R - 1) { srv[i] = ABSENT }
       for (i : 0 .. T - 1) { minRun[i] = 0 }
       for (i : 0 .. T * R * K - 1) { startOrder[i] = 0 }
       i = 0 }
  /* The lease has lapsed and no order was sent since its renewal. */
  :: atomic { !lapseKnown && USED_COUNT > 0 -> lapseKnown = 1;
       for (t : 0 .. T - 1) {
         for (r : 0 .. R - 1) {
           if
           :: srv[X(t, r)] == ACTIVE -> endAtServer(t, r)
           :: else -> skip
           fi
         }
       }
       for (i : 0 .. T * R * K - 1) { startOrder[i] = 0 }
       t = 0; r = 0; i = 0 }
  od
}
