/* Starting the tasks of one job on agents that may crash and restart and that
 * issue and withdraw credits. The network may lose, duplicate and reorder each
 * message: a message that was sent stays in its bit array and may be delivered
 * at any later time, any number of times, or never. A paused process is one
 * that takes no step for a while.
 *
 * Properties: a task starts at most once; after the answer "did not run" no
 * task ever starts; the job succeeds only if all its tasks succeeded.
 *
 * Verified within three bounds: one task and two agents with one credit each,
 * one task and one agent with two credits, two tasks and one agent with two
 * credits. */

/* T tasks, A agents, I incarnations per agent, C credits per incarnation. */
#ifdef TWO_TASKS
#define T 2
#define A 1
#define I 1
#define C 2
#else
#ifdef TWO_CREDITS
#define T 1
#define A 1
#define I 2
#define C 2
#else
#define T 1
#define A 2
#define I 2
#define C 1
#endif
#endif

#ifdef TWO_TASKS
#define ALL(value) (state[0] == value && state[1] == value)
#define SOME(value) (state[0] == value || state[1] == value)
#define STARTS (starts[0] + starts[1])
#else
#define ALL(value) (state[0] == value)
#define SOME(value) (state[0] == value)
#define STARTS starts[0]
#endif
#define AIC(a, i, c) (((a) * I + (i)) * C + (c))
#define TAIC(t, a, i, c) ((t) * A * I * C + AIC(a, i, c))
#define MAX_ATTEMPTS 2

/* States of a task at the entry; the chart is task.scxml. */
#define WAITING 0
#define SENT 1
#define SUCCEEDED 2
#define UNKNOWN 3

/* Answers. */
#define NONE 0
#define OK 1
#define DID_NOT_RUN 2
#define OUTCOME_UNKNOWN 3

#ifdef MUTANT_REFUSAL_NOT_MATCHED
#define MATCHES_START(t, c) true
#else
#define MATCHES_START(t, c) (c == credit[t])
#endif

/* Messages. */
bit grant[A * I * C];
bit start[T * A * I * C];
bit refused[T * A * I * C];
bit done[T * A * I * C];

byte starts[T];
byte answer = NONE;

/* The entry. */
byte state[T];
byte agent[T];
byte incarnationOf[T];
byte credit[T];
byte attempts[T];
bit held[A * I * C];

/* The agents. */
byte incarnation[A];
bit issued[A * C];
bit spent[A * C];
bit started[T * A];
bit running[T * A];
byte runningCredit[T * A];

inline beginTask(t, a, c) {
  assert(starts[t] == 0);
  assert(answer != DID_NOT_RUN);
  starts[t]++;
  started[t * A + a] = 1;
  running[t * A + a] = 1;
  runningCredit[t * A + a] = c;
  issued[a * C + c] = 0;
  spent[a * C + c] = 1
}

inline deliverStart(t, a, i, c) {
  if
#ifndef MUTANT_INCARNATION_NOT_COMPARED
  :: i != incarnation[a] -> skip
#endif
#ifndef MUTANT_STARTED_TASKS_FORGOTTEN
  :: else -> if
    :: started[t * A + a] -> skip
    :: else -> checkCredit(t, a, i, c)
    fi
#else
  :: else -> checkCredit(t, a, i, c)
#endif
  fi
}

inline checkCredit(t, a, i, c) {
  if
  :: !issued[a * C + c] -> refused[TAIC(t, a, i, c)] = 1
#ifdef MUTANT_CREDIT_NOT_CHECKED
  :: true -> beginTask(t, a, c)
#else
  :: issued[a * C + c] -> beginTask(t, a, c)
#endif
  fi
}

proctype Agent(byte a) {
  byte t, i, c;
  do
  :: atomic { select(c : 0 .. C - 1); !issued[a * C + c] && !spent[a * C + c] ->
       issued[a * C + c] = 1; grant[AIC(a, incarnation[a], c)] = 1 }
  :: atomic { select(c : 0 .. C - 1); issued[a * C + c] ->
       issued[a * C + c] = 0; spent[a * C + c] = 1 }
  :: atomic { select(t : 0 .. T - 1); select(i : 0 .. I - 1);
       select(c : 0 .. C - 1); start[TAIC(t, a, i, c)] ->
       deliverStart(t, a, i, c) }
  :: atomic { select(t : 0 .. T - 1); running[t * A + a] ->
       running[t * A + a] = 0;
       done[TAIC(t, a, incarnation[a], runningCredit[t * A + a])] = 1 }
  :: atomic { incarnation[a] < I - 1 -> incarnation[a]++;
       for (c : 0 .. C - 1) { issued[a * C + c] = 0; spent[a * C + c] = 0 }
       for (t : 0 .. T - 1) { started[t * A + a] = 0; running[t * A + a] = 0 }
       t = 0; c = 0 }
  od
}

inline sendStart(t, a, i, c) {
  held[AIC(a, i, c)] = 0;
  state[t] = SENT;
  agent[t] = a;
  incarnationOf[t] = i;
  credit[t] = c;
  attempts[t]++;
  start[TAIC(t, a, i, c)] = 1
}

inline giveUp() {
  if
#ifdef MUTANT_SENT_COUNTS_AS_NOT_RUN
  :: !SOME(SUCCEEDED) -> answer = DID_NOT_RUN
#else
  :: ALL(WAITING) -> answer = DID_NOT_RUN
#endif
  :: else -> answer = OUTCOME_UNKNOWN
  fi;
  /* "Did not run" is answered only if no task has started. */
  assert(answer != DID_NOT_RUN || STARTS == 0)
}

proctype Entry() {
  byte t, a, i, c;
  do
  :: answer != NONE -> break
  :: atomic { select(a : 0 .. A - 1); select(i : 0 .. I - 1);
       select(c : 0 .. C - 1); grant[AIC(a, i, c)] && answer == NONE ->
       held[AIC(a, i, c)] = 1 }
  :: atomic { select(t : 0 .. T - 1); select(a : 0 .. A - 1);
       select(i : 0 .. I - 1); select(c : 0 .. C - 1);
       answer == NONE && state[t] == WAITING && attempts[t] < MAX_ATTEMPTS &&
       held[AIC(a, i, c)] -> sendStart(t, a, i, c) }
  :: atomic { select(t : 0 .. T - 1); select(c : 0 .. C - 1);
       answer == NONE && state[t] == SENT &&
       refused[TAIC(t, agent[t], incarnationOf[t], c)] &&
       MATCHES_START(t, c) -> state[t] = WAITING }
  :: atomic { select(t : 0 .. T - 1);
       answer == NONE && state[t] == SENT &&
       done[TAIC(t, agent[t], incarnationOf[t], credit[t])] ->
       state[t] = SUCCEEDED }
  /* The link lapses, so it is unknown whether the start arrived. */
  :: atomic { select(t : 0 .. T - 1); answer == NONE && state[t] == SENT ->
#ifdef MUTANT_PLACED_AGAIN_AFTER_LAPSE
       state[t] = WAITING }
#else
       state[t] = UNKNOWN; answer = OUTCOME_UNKNOWN }
#endif
  :: atomic { answer == NONE && ALL(SUCCEEDED) -> answer = OK;
       assert(STARTS == T) }
  /* The deadline passes or the caller cancels. */
  :: atomic { answer == NONE -> giveUp() }
  od
}

init {
  atomic {
    run Agent(0);
#if A == 2
    run Agent(1);
#endif
    run Entry()
  }
}
