/* The lease of a run whose entry is lost. A caller whose connection breaks sends
 * the job again after RESEND; an entry that lost an agent places its tasks again
 * no sooner. The agent and, in a chain, the owner may freeze: a process is free
 * to take no step for any time, and reads messages that waited for it later. An
 * order may reach the server late. The lease that an agent asks for ends BOUND
 * after its caller's entry was confirmed alive at the latest. The confirmation is an echo:
 * an answer to a message of the agent's own, counted from when that was sent.
 *
 * Configuration CHAIN: the lost entry forwarded the job to an owner, which tells
 * the agent with each answer for how long the forwarder has not been confirmed
 * alive.
 *
 * Property: when the caller has sent the job again, or the entry has placed the
 * task again, the run does not run and never starts.
 *
 * Bounds: a clock of ten ticks, of seven in a chain. The tick between BOUND and
 * RESEND stands for the server's slower clock and the time of a stop. */

#define LEASE 2
#define BOUND 3
#ifdef MUTANT_PLACED_BEFORE_THE_LAPSE
#define RESEND 2
#else
#define RESEND 4
#endif
#define BEGIN 4
#ifdef CHAIN
#define END 11
#else
#define END 14
#endif
#define NEVER 99

byte now = BEGIN;
byte lostAt = NEVER;

/* A question to the entry and its answer: when it was sent, or 0. */
byte question = 0;
byte reply = 0;
/* When the agent has confirmation that the entry of the caller was alive. */
short aliveAt = 0;

#ifdef CHAIN
byte chainQuestion = 0;
byte chainReply = 0;
byte silence = 0;
short forwarderAliveAt = BEGIN;
#endif

/* Orders on their way: the end of the lease that each asks for, or 0. */
byte startOrder = 0;
byte renewal = 0;
bit ordered = 0;

byte lease = 0;
bit inUse = 0;

#define IS_ALIVE (lostAt == NEVER)
#define IS_RESENT (lostAt != NEVER && now >= lostAt + RESEND)

#ifdef MUTANT_LEASE_BEYOND_THE_PROOF
#define MAY_LEASE (aliveAt > 0)
#define NEW_LEASE (now + LEASE)
#else
#define MAY_LEASE (aliveAt > 0 && aliveAt + BOUND > now)
#define NEW_LEASE (now + LEASE < aliveAt + BOUND -> now + LEASE : \
                   aliveAt + BOUND)
#endif

inline readReply() {
#if defined(MUTANT_ARRIVAL_IS_PROOF)
  aliveAt = now;
#elif defined(CHAIN) && !defined(MUTANT_FORWARDER_NOT_COUNTED)
  if
  :: reply - silence > aliveAt -> aliveAt = reply - silence
  :: else -> skip
  fi;
#else
  aliveAt = reply;
#endif
#ifdef CHAIN
  silence = 0;
#endif
  reply = 0
}

active proctype Agent() {
  do
  :: atomic { question == 0 && reply == 0 -> question = now }
  :: atomic { reply != 0 -> readReply() }
  :: atomic { !ordered && MAY_LEASE -> ordered = 1; startOrder = NEW_LEASE }
  :: atomic { ordered && renewal == 0 && MAY_LEASE -> renewal = NEW_LEASE }
  od
}

#ifdef CHAIN
active proctype Owner() {
  do
  :: atomic { chainQuestion == 0 && chainReply == 0 -> chainQuestion = now }
  :: atomic { chainReply != 0 -> forwarderAliveAt = chainReply;
       chainReply = 0 }
  :: atomic { question != 0 -> reply = question; question = 0;
       silence = now - forwarderAliveAt }
  od
}

active proctype Forwarder() {
  do
  :: atomic { chainQuestion != 0 && IS_ALIVE -> chainReply = chainQuestion;
       chainQuestion = 0 }
  :: atomic { IS_ALIVE -> lostAt = now }
  od
}
#else
active proctype Entry() {
  do
  :: atomic { question != 0 && IS_ALIVE -> reply = question; question = 0 }
  :: atomic { IS_ALIVE -> lostAt = now }
  od
}
#endif

active proctype Server() {
  do
  /* An order whose deadline has passed is void. */
  :: atomic { startOrder != 0 ->
       if
       :: startOrder > now -> assert(!IS_RESENT); inUse = 1;
            lease = (startOrder > lease -> startOrder : lease)
       :: else -> skip
       fi;
       startOrder = 0 }
  :: atomic { renewal != 0 -> lease = (renewal > lease -> renewal : lease);
       renewal = 0 }
  :: atomic { inUse -> inUse = 0 }
  od
}

active proctype Time() {
  do
  :: atomic { now < END -> now++;
       if
       :: now >= lease -> inUse = 0
       :: else -> skip
       fi;
       assert(!inUse || !IS_RESENT) }
  od
}
