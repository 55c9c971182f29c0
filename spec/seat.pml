/* Hand-over of a share of the fleet's capacity under freshness evidence.
 *
 * A seat table gives the seat to the old holder, then to the new one. The old
 * holder may use the seat while its evidence is no older than BOUND; it may be
 * paused at any step. The new holder waits until the old one's right has
 * surely ended.
 *
 * Property: the two never use the seat at the same moment.
 *
 * Variants that must fail: BROKEN_WAIT (the new holder starts at once),
 * BROKEN_CHECK (the old holder's check and use are separate steps),
 * BROKEN_SENT (evidence counts from the answer).
 */
#define BOUND 2
#define MAX_TIME 7

mtype:lease = { waiting, held, lapsed }

byte now
bit reassigned                   /* the table names the new holder */
mtype:lease oldState = held
mtype:lease newState = waiting

proctype Clock() {
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

proctype TableWriter() {
  reassigned = 1
}

#define FRESH (now - asOf <= BOUND)

proctype OldHolder() {
  byte asOf, sentAt;
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
