/* Two operators concurrently apply a change to the same version through two
 * entries. The store may be down or lose its reply at any call. Processes poll
 * the head row, receive versions from each other in any order, and restart.
 *
 * Properties: of two applies to one version at most one is accepted; an
 * accepted apply was written; the version in force in a process never
 * decreases, and after a restart it is not lower than the version that the
 * peers announced to the process. */

#define OPERATORS 2
#define PROCESSES 2
#define MAX_VERSION 3

byte head = 0;
byte writer[MAX_VERSION + 1];   /* the apply that wrote each version */
bit announced[MAX_VERSION + 1]; /* versions that processes send each other */
byte inForce[PROCESSES];
byte acceptedAt[MAX_VERSION + 1];

proctype Operator(byte id) {
  byte base, seen, retries = 0;
  bit replied;
  base = head;
swapping:
  atomic {
    replied = 0;
    if
    :: skip /* the store is down */
    :: true ->
       if
#ifdef MUTANT_BLIND_WRITE
       :: true -> head = base + 1; writer[base + 1] = id
#else
       :: head == base && writer[base + 1] == 0 ->
          head = base + 1; writer[base + 1] = id
       :: else -> skip
#endif
       fi;
       if
       :: replied = 1
       :: skip /* the reply is lost */
       fi
    fi
  };
#ifdef MUTANT_LOST_REPLY_MEANS_ACCEPTED
  if
  :: !replied -> goto accepted
  :: else -> skip
  fi;
#endif
  /* Reads back the row of the apply id. */
  if
  :: atomic { writer[base + 1] == id -> goto accepted }
  :: atomic { writer[base + 1] != id && head != base -> goto refused }
  :: atomic { writer[base + 1] == 0 && head == base && retries < 1 ->
       retries++; goto swapping }
  :: goto unconfirmed
  fi;
accepted:
  atomic {
    assert(writer[base + 1] == id);
    acceptedAt[base + 1]++;
    assert(acceptedAt[base + 1] == 1)
  };
refused:
unconfirmed:
  skip
}

/* Accepts only a higher version. */
inline offer(p, version) {
  if
#ifdef MUTANT_LOWER_VERSION_TAKEN
  :: version != inForce[p] ->
#else
  :: version > inForce[p] ->
#endif
     assert(version >= inForce[p]);
     inForce[p] = version;
     announced[version] = 1
  :: else -> skip
  fi
}

proctype Process(byte p) {
  byte v;
  byte steps = 0;
  do
  :: steps < 4 -> steps++;
     if
     :: atomic { offer(p, head) }
     :: atomic { select(v : 1 .. MAX_VERSION); announced[v] -> offer(p, v) }
     :: skip
     fi
  :: steps >= 4 -> break
  od;
  /* A version in force was written to the head row. */
  assert(inForce[p] == 0 || writer[inForce[p]] != 0)
}

init {
  atomic {
    run Operator(1); run Operator(2);
    run Process(0); run Process(1)
  }
}
