/* A seat passes from one instance to another. A seat is a part of the fleet's shared
 * limits that at most one instance may use at a time.
 *
 * The seat table in the store names the old holder, then the new one. The old holder
 * may use the seat while its evidence, the newest read of the table, is no older than
 * BOUND. It may be paused at any step. The new holder waits until the old one's right
 * has ended in any case.
 *
 * Property: the two never use the seat at the same time.
 *
 * Variants, in each of which an assertion must fail:
 *   BROKEN_WAIT: the new holder starts at once.
 *   BROKEN_CHECK: the old holder checks its right and uses the seat in separate steps.
 *   BROKEN_SENT: evidence is dated at the answer instead of the sending of the read.
 */
#define BOUND 2             /* largest age of evidence, in steps of the clock */
#define MAX_TIME 7          /* steps of the clock */

/* A holder waits for the seat, holds it, or has lost it. */
mtype:lease = { waiting, held, lapsed }

byte now
bit reassigned              /* the table in the store names the new holder */
mtype:lease oldState = held
mtype:lease newState = waiting

proctype Clock() {
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

/* The writer of the seat table. */
proctype TableWriter() {
  reassigned = 1
}

/* The evidence of the old holder is young enough. */
#define FRESH (now - asOf <= BOUND)

/* Reads the table again and again, and uses the seat while it may. */
proctype OldHolder() {
  byte asOf, sentAt;        /* date of the evidence; when the last read was sent */
  bit knowsReassigned, readReassigned, mayUse;

  do
  :: sentAt = now;
     readReassigned = reassigned;
     atomic {
       knowsReassigned = knowsReassigned || readReassigned; readReassigned = 0;
#ifdef BROKEN_SENT
       asOf = now
#else
       asOf = sentAt
#endif
     }
  :: atomic { knowsReassigned || !FRESH -> oldState = lapsed }
  :: atomic { !knowsReassigned && FRESH -> oldState = held }
#ifdef BROKEN_CHECK
  :: mayUse = (!knowsReassigned && FRESH);
     if
     :: mayUse -> assert(newState != held)
     :: else
     fi
#else
  :: atomic { !knowsReassigned && FRESH -> assert(newState != held) }
#endif
  :: now == MAX_TIME -> break
  od
}

/* Learns of the reassignment at any time after it, and waits. */
proctype NewHolder() {
  byte learnedAt;

  atomic { reassigned -> learnedAt = now }
#ifndef BROKEN_WAIT
  atomic { now - learnedAt > BOUND -> newState = held }
#else
  newState = held
#endif
}

init {
  atomic { run Clock(); run TableWriter(); run OldHolder(); run NewHolder() }
}
