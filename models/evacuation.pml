/* An operator requests the evacuation of a failure domain and withdraws it
 * again. Two entries follow the store by its changes, or by a full read once the
 * store has discarded its history, and pass the state on to each other and to an
 * agent in the domain. Links go down and up, and entries may be cut off from the
 * store at any time.
 *
 * Properties: the version known to a process never decreases; what it holds is
 * what the store held at that version, so that an older state never replaces a
 * newer one; the agent starts no task after it has learned of an evacuation that
 * is in force; and once the operator has ended and an entry has read the store,
 * its peers agree with the store. */

#define ENTRIES 2
#define AGENT 2
#define PROCESSES 3
#define CHANGES 2

byte version = 1;                 /* of the store */
bit history[CHANGES + 3];         /* whether evacuated, by version */
byte oldest = 1;                  /* the oldest change that the store keeps */

byte known[PROCESSES];            /* version; zero for nothing */
bit evacuated[PROCESSES];
byte cursor[ENTRIES];             /* version up to which changes were read */
bit seen[ENTRIES];                /* the domain as of the cursor */
chan links[PROCESSES] = [1] of { byte, bit };
bit hasOperatorEnded = 0;

inline adopt(p, v, e) {
  if
#ifdef MUTANT_OLDER_STATE_ADOPTED
  :: v != known[p] ->
#else
  :: v > known[p] ->
#endif
     assert(v >= known[p]);
     known[p] = v;
     evacuated[p] = e
  :: else -> skip
  fi;
  assert(known[p] == 0 || evacuated[p] == history[known[p]])
}

inline notify(from, to) {
  if
  :: known[from] > 0 && len(links[to]) < 1 ->
     links[to]!known[from], evacuated[from]
  :: true -> skip /* the link is down */
  fi
}

proctype Operator() {
  byte n = 0;
  do
  :: n < CHANGES ->
     atomic {
       history[version + 1] = 1 - history[version];
       version++;
       n++;
       if
       :: oldest = version + 1 /* the store discards its history */
       :: skip
       fi
     }
  :: n >= CHANGES -> break
  od;
  hasOperatorEnded = 1
}

/* Reads the changes since the cursor, or all rows when they are gone. */
inline follow(p) {
  if
  :: cursor[p] > 0 && cursor[p] + 1 >= oldest ->
     if
     :: cursor[p] < version ->
        cursor[p]++;
        seen[p] = history[cursor[p]]
     :: else -> skip
     fi
  :: else ->
#ifdef MUTANT_WITHDRAWAL_LOST
     seen[p] = seen[p] || history[version];
#else
     seen[p] = history[version];
#endif
     cursor[p] = version
  fi;
  adopt(p, cursor[p], seen[p])
}

proctype Entry(byte p) {
  byte v, steps = 0;
  bit e;
  do
  :: steps < 3 -> steps++;
     if
     :: atomic { follow(p); notify(p, 1 - p); notify(p, AGENT) }
     :: atomic { links[p]?v, e -> adopt(p, v, e); notify(p, AGENT) }
     :: skip /* cut off */
     fi
  :: steps >= 3 -> break
  od;
  /* The store can be reached again. */
  hasOperatorEnded;
  do
  :: atomic { cursor[p] < version || cursor[p] + 1 < oldest -> follow(p) }
  :: atomic { cursor[p] >= version && cursor[p] + 1 >= oldest -> break }
  od;
  atomic {
    assert(evacuated[p] == history[version]);
    /* The link to the agent comes up. */
    adopt(AGENT, known[p], evacuated[p]);
    assert(evacuated[AGENT] == history[version])
  }
}

proctype Agent() {
  byte v, steps = 0;
  bit e;
  do
  :: steps < 3 -> steps++;
     if
     :: atomic { links[AGENT]?v, e -> adopt(AGENT, v, e) }
     :: atomic {
#ifndef MUTANT_AGENT_DOES_NOT_CHECK
          !evacuated[AGENT] ->
#endif
          /* Starts a task. */
          assert(known[AGENT] == 0 || !history[known[AGENT]])
        }
     :: skip
     fi
  :: steps >= 3 -> break
  od
}

init {
  atomic {
    run Operator(); run Entry(0); run Entry(1); run Agent()
  }
}
