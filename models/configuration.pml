/* Two operators apply from the same version at the same time through two
 * entries, the store loses replies and is down at any call, processes poll
 * the head row, hear of versions from each other in any order, and restart.
 *
 * Promises: of two applies from one version one is accepted; what is accepted
 * was written; the version in force in a process never goes back, and a
 * process that restarts comes back with no lower version than its peers told
 * it. */

#define OPERATORS 2
#define PROCESSES 2
#define LAST 3

byte head = 0;
byte writer[LAST + 1];   /* the apply that wrote each version */
bit heard[LAST + 1];     /* versions that travel between processes */
byte inForce[PROCESSES];
byte acceptedAt[LAST + 1];

proctype Operator(byte me) {
  byte base, seen, tries = 0;
  bit replied;
  base = head;
swapping:
  atomic {
    replied = 0;
    if
    :: skip /* down */
    :: true ->
       if
#ifdef MUTANT_BLIND_WRITE
       :: true -> head = base + 1; writer[base + 1] = me
#else
       :: head == base && writer[base + 1] == 0 ->
          head = base + 1; writer[base + 1] = me
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
  /* Read back by apply id. */
  if
  :: atomic { writer[base + 1] == me -> goto accepted }
  :: atomic { writer[base + 1] != me && head != base -> goto refused }
  :: atomic { writer[base + 1] == 0 && head == base && tries < 1 ->
       tries++; goto swapping }
  :: goto unconfirmed
  fi;
accepted:
  atomic {
    assert(writer[base + 1] == me);
    acceptedAt[base + 1]++;
    assert(acceptedAt[base + 1] == 1)
  };
refused:
unconfirmed:
  skip
}

/* Takes a version only if it is higher. */
inline offer(p, version) {
  if
#ifdef MUTANT_LOWER_VERSION_TAKEN
  :: version != inForce[p] ->
#else
  :: version > inForce[p] ->
#endif
     assert(version >= inForce[p]);
     inForce[p] = version;
     heard[version] = 1
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
     :: atomic { select(v : 1 .. LAST); heard[v] -> offer(p, v) }
     :: skip
     fi
  :: steps >= 4 -> break
  od;
  /* Whatever is in force was once the head. */
  assert(inForce[p] == 0 || writer[inForce[p]] != 0)
}

init {
  atomic {
    run Operator(1); run Operator(2);
    run Process(0); run Process(1)
  }
}
