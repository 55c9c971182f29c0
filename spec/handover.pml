/* The share of an instance passes from one hub of the quotas to the other. A hub grants
 * tokens out of the shares of the instances that report to it, so a share must not count
 * at two hubs.
 *
 * A report names the hub's last response that the instance has got (its echo). The hub
 * counts the share until the echo is TTL old; a report without an echo counts nothing. The
 * instance brings the share to the other hub when the old one has handed it back, or when
 * TTL has passed since the arrival of the old one's last response. Until then it is a
 * guest there. Reports may arrive late, also after a later request to hand back the share,
 * responses may be lost, and a hub may be paused at any step. A hub hands back the share
 * when asked, or at a planned stop.
 *
 * Property: no two hubs count the share at the same time.
 *
 * Variants, in each of which the assertion must fail:
 *   BROKEN_GUEST: the instance does not wait for the end of the old hub's right.
 *   BROKEN_ECHO: a hub counts the share from the arrival of a report.
 *   BROKEN_RELEASE: a hub goes on counting a share that it has handed back.
 *   BROKEN_ORDER: a hub counts the share by a report from before it handed the share back.
 */
#define TTL 2
#define MAX_TIME 5
#define NOBODY 2

byte now = 1
bit open[2]                 /* a report is on its way to the hub */
byte echo[2]                /* its echo; 0: none */
bit guest[2]                /* the instance is a guest by it */
bit releaseOpen[2]          /* a request to hand back is on its way */
bit counts[2]               /* the hub counts the share */
byte countedFrom[2]         /* date of the share at the hub */
bit after[2]                /* the report's echo is from after the hub last handed it back */

byte holder = NOBODY        /* hub that the instance takes to have its share */
byte heard[2]               /* arrival of each hub's last response */
bit heardAfter[2]           /* it is from after the hub last handed the share back */

#define HOLDS(h) (counts[h] && now - countedFrom[h] < TTL)

proctype Clock() {
  do
  :: atomic { now < MAX_TIME ->
       now++;
       d_step {                             /* forget what has no effect any more */
         if :: counts[0] && !HOLDS(0) -> counts[0] = 0; countedFrom[0] = 0 :: else fi;
         if :: counts[1] && !HOLDS(1) -> counts[1] = 0; countedFrom[1] = 0 :: else fi;
       }
     }
  :: else -> break
  od
}

/* Hands back the share. The response may be lost. */
inline handBack(h) {
#ifndef BROKEN_RELEASE
  counts[h] = 0;
#endif
  after[h] = 0; heardAfter[h] = 0;
  if
  :: holder == h -> holder = NOBODY; heard[h] = now; heardAfter[h] = 1
  :: true
  fi
}

proctype Hub(byte h) {
  bit leaving;
  do
  :: atomic { open[h] ->
       open[h] = 0;
       if
       :: leaving && HOLDS(h) -> handBack(h)
       :: leaving && !HOLDS(h) -> counts[h] = 0; echo[h] = 0; guest[h] = 0
       :: !leaving ->
          if
          :: guest[h] || echo[h] == 0 -> counts[h] = 0
#ifndef BROKEN_ORDER
          :: !guest[h] && echo[h] != 0 && !after[h] -> counts[h] = 0
          :: !guest[h] && echo[h] != 0 && after[h] ->
#else
          :: !guest[h] && echo[h] != 0 ->
#endif
             counts[h] = 1;
#ifdef BROKEN_ECHO
             countedFrom[h] = now
#else
             countedFrom[h] = echo[h]
#endif
          fi;
          echo[h] = 0; guest[h] = 0; after[h] = 0;
          if                                /* the response may be lost */
          :: heard[h] = now; heardAfter[h] = 1
          :: true
          fi
       fi;
       assert(!(HOLDS(0) && HOLDS(1)))
     }
  :: atomic { releaseOpen[h] -> releaseOpen[h] = 0; handBack(h) }
  :: atomic { h == 0 && !leaving -> leaving = 1 }   /* a planned stop */
  :: now == MAX_TIME -> break
  od
}

/* Reports now to one hub and now to the other. */
proctype Instance() {
  byte to;

  do
  :: atomic { !open[to] ->
       guest[to] = 0;
       if
#ifndef BROKEN_GUEST
       :: holder == 1 - to && now - heard[1 - to] < TTL -> guest[to] = 1
       :: !(holder == 1 - to && now - heard[1 - to] < TTL) ->
#else
       :: true ->
#endif
          if
          :: heard[to] != 0 -> holder = to
          :: else
          fi
       fi;
       echo[to] = heard[to]; after[to] = heardAfter[to]; open[to] = 1
     }
  :: atomic { holder == 1 - to && !releaseOpen[1 - to] -> releaseOpen[1 - to] = 1 }
  :: atomic { to = 1 - to }
  :: now == MAX_TIME -> break
  od
}

init {
  atomic { run Clock(); run Hub(0); run Hub(1); run Instance() }
}
