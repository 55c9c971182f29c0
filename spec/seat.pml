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
bit moved                   /* the table names the new holder */
mtype:lease oldState = held
mtype:lease newState = waiting

proctype Clock() {
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

proctype Keeper() {
  moved = 1
}

#define FRESH (now - asOf <= BOUND)

proctype OldHolder() {
  byte asOf, sentAt;
  bit knows, got, may;

  do
  :: sentAt = now;
     got = moved;
     atomic {
       knows = knows || got; got = 0;
#ifdef BROKEN_SENT
       asOf = now
#else
       asOf = sentAt
#endif
     }
  :: atomic { knows || !FRESH -> oldState = lapsed }
  :: atomic { !knows && FRESH -> oldState = held }
#ifdef BROKEN_CHECK
  :: may = (!knows && FRESH);
     if
     :: may -> assert(newState != held)
     :: else
     fi
#else
  :: atomic { !knows && FRESH -> assert(newState != held) }
#endif
  :: now == MAX_TIME -> break
  od
}

proctype NewHolder() {
  byte learned;

  atomic { moved -> learned = now }
#ifndef BROKEN_WAIT
  atomic { now - learned > BOUND -> newState = held }
#else
  newState = held
#endif
}

init {
  atomic { run Clock(); run Keeper(); run OldHolder(); run NewHolder() }
}
