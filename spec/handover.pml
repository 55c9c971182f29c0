/* The shares of a quota pass from one hub to another. A hub grants tokens out of the shares
 * of the instances that report to it. An instance's share must not be with two hubs.
 *
 * A report names the hub's last response that the instance has got (its echo). The hub
 * counts the share until the echo is TTL old; a report without an echo counts nothing. The
 * instance takes the share to the other hub when the old one has handed it back, or when
 * TTL has passed since the arrival of the old one's last response. Until then it is a
 * guest there. Reports and responses may be lost or late, and a hub may be paused at any
 * step. Each hub hands back the share if asked, or at a planned stop.
 *
 * Property: no two hubs count the share at the same time.
 *
 * Variants, in each of which the assertion must fail:
 *   BROKEN_GUEST: the instance does not wait for the end of the old hub's right.
 *   BROKEN_ECHO: a hub counts the share from the arrival of a report.
 *   BROKEN_RELEASE: a hub goes on counting a share that it has handed back.
 */
#define TTL 2
#define MAX_TIME 6

byte now = 1
byte echo[2]                /* as in the report under way; 0: none */
byte sentAt[2]              /* of the response under way; 0: no response */
bit reportOpen[2], guest[2], release[2]
bit released[2]             /* the response under way hands back the share */
bit counts[2]
byte countedFrom[2]         /* date of the share at a hub */

#define HOLDS(h) (counts[h] && now - countedFrom[h] < TTL)

proctype Clock() {
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

proctype Hub(byte h) {
  bit leaving;
  do
  :: atomic { reportOpen[h] && sentAt[h] == 0 ->
       reportOpen[h] = 0;
       if
       :: release[h] || leaving ->
#ifndef BROKEN_RELEASE
          counts[h] = 0;
#endif
          released[h] = 1
       :: else ->
          released[h] = 0;
          if
          :: guest[h] || echo[h] == 0 -> counts[h] = 0
          :: else ->
             counts[h] = 1;
#ifdef BROKEN_ECHO
             countedFrom[h] = now
#else
             countedFrom[h] = echo[h]
#endif
          fi
       fi;
       sentAt[h] = now;
       assert(!(HOLDS(0) && HOLDS(1)))
     }
  :: leaving = 1                            /* a planned stop */
  :: sentAt[h] != 0 -> sentAt[h] = 0        /* the response is lost */
  :: now == MAX_TIME -> break
  od
}

/* Reports now to one hub and now to the other. */
proctype Instance() {
  byte to, other = 1, holder = 2, heardAt;      /* holder 2: none */
  byte seen[2];                             /* date of each hub's last response */
  bit isGuest, asked;

  do
  :: atomic { !reportOpen[to] && sentAt[to] == 0 ->
       isGuest = 0;
#ifndef BROKEN_GUEST
       if
       :: holder == other && now - heardAt < TTL -> isGuest = 1
       :: else
       fi;
#endif
       if
       :: !isGuest && seen[to] != 0 && holder != to -> holder = to; heardAt = now
       :: else
       fi;
       guest[to] = isGuest; release[to] = 0; echo[to] = seen[to]; reportOpen[to] = 1
     }
  :: atomic { holder == other && !reportOpen[other] && sentAt[other] == 0 ->
       guest[other] = 0; release[other] = 1; echo[other] = seen[other]; reportOpen[other] = 1 }
  :: atomic { sentAt[to] != 0 ->
       seen[to] = sentAt[to]; sentAt[to] = 0;
       if
       :: holder == to && released[to] -> holder = 2
       :: holder == to && !released[to] -> heardAt = now
       :: else
       fi }
  :: atomic { holder == other && sentAt[other] != 0 && released[other] ->
       seen[other] = sentAt[other]; sentAt[other] = 0; holder = 2 }
  :: atomic { to = 1 - to; other = 1 - to }
  :: now == MAX_TIME -> break
  od
}

init {
  atomic { run Clock(); run Hub(0); run Hub(1); run Instance() }
}
