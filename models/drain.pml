/* A backend server leaves under load, and an entry drains while requests
 * arrive: they are received over HTTP, then claimed, then run as jobs.
 *
 * Properties: no task starts at an agent that is leaving; a start already sent
 * to it is refused as "did not start" and its task is placed elsewhere; a
 * draining process stops only when nothing is in flight. */

#define REQUESTS 2

/* Stages of a request at the entry. */
#define NOT_RECEIVED 0
#define AT_HTTP 1
#define AS_JOB 2
#define ANSWERED 3
#define REFUSED 4

#ifdef MUTANT_STOPS_WITH_JOBS
#define NO_JOBS true
#else
#define NO_JOBS (stage[0] != AS_JOB && stage[1] != AS_JOB)
#endif

#ifdef MUTANT_STOPS_WITH_REQUESTS
#define NO_REQUESTS true
#else
#define NO_REQUESTS (stage[0] != AT_HTTP && stage[1] != AT_HTTP)
#endif

#ifdef MUTANT_AGENT_STOPS_EARLY
#define NOTHING_RUNS true
#else
#define NOTHING_RUNS (!runningAtAgent[0] && !runningAtAgent[1])
#endif

byte stage[REQUESTS];
bit serving = 1;
bit stopped = 0;

bit leaving = 0;
bit startSent[REQUESTS];
bit refusalSent[REQUESTS];
bit runningAtAgent[REQUESTS];
bit startedElsewhere[REQUESTS];
bit agentStopped = 0;

proctype Caller(byte r) {
  atomic {
    if
    :: stopped -> stage[r] = REFUSED /* connection refused */
    :: !stopped && serving -> stage[r] = AT_HTTP
    :: !stopped && !serving -> stage[r] = REFUSED /* answered "did not run" */
    fi
  }
}

proctype Entry() {
  byte r;
  do
  :: atomic { select(r : 0 .. REQUESTS - 1); stage[r] == AT_HTTP ->
       stage[r] = AS_JOB; startSent[r] = 1 }
  :: atomic { select(r : 0 .. REQUESTS - 1); refusalSent[r] ->
       refusalSent[r] = 0; startedElsewhere[r] = 1 }
  :: atomic { select(r : 0 .. REQUESTS - 1);
       stage[r] == AS_JOB && startedElsewhere[r] -> stage[r] = ANSWERED }
  :: atomic { serving -> serving = 0 }
  :: atomic { !serving && !stopped && NO_JOBS && NO_REQUESTS -> stopped = 1;
       assert(stage[0] != AT_HTTP && stage[0] != AS_JOB);
       assert(stage[1] != AT_HTTP && stage[1] != AS_JOB) }
  od
}

proctype Agent() {
  byte r;
  do
  :: atomic { select(r : 0 .. REQUESTS - 1); startSent[r] ->
       startSent[r] = 0;
       if
#ifndef MUTANT_STARTS_WHILE_LEAVING
       :: leaving -> refusalSent[r] = 1
#endif
       :: else -> assert(!leaving); runningAtAgent[r] = 1
       fi }
  :: atomic { select(r : 0 .. REQUESTS - 1); runningAtAgent[r] ->
       runningAtAgent[r] = 0; stage[r] = ANSWERED }
  :: atomic { !leaving -> leaving = 1 }
  :: atomic { leaving && !agentStopped && NOTHING_RUNS -> agentStopped = 1;
       assert(!runningAtAgent[0] && !runningAtAgent[1]) }
  od
}

init { atomic { run Caller(0); run Caller(1); run Entry(); run Agent() } }
