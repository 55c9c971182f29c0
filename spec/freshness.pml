/* Configuration order and key freshness through relays.
 *
 * Writer 0, or both writers, are listed in revision 1. An instance learns
 * revisions and evidence from the store or through relays, which may be old.
 * Writers may be cut off, paused (never scheduled), end, or leave in good order.
 *
 * A moment is represented by the newest revision that was accepted by then,
 * so no clock is needed. Property: the instance holds every revision that was
 * accepted before the moment AsOf of its evidence, and never goes back.
 *
 * Variants that must fail: BROKEN_UNKNOWN (a writer vouches in spite of a write
 * of unknown outcome), BROKEN_OWN (a writer forgets its own success),
 * BROKEN_REGISTER (an unlisted instance writes), BROKEN_FINAL (final vouchers
 * suffice without a living writer), BROKEN_SENT (evidence counts from the
 * answer), BROKEN_REVERT (an older revision replaces a newer one).
 */
#ifndef MAX_REVISION
#define MAX_REVISION 2
#endif
#define WRITERS 2

mtype:writer = { idle, writing, uncertain, retired, ended }

byte revision = 1           /* newest accepted; also stands for the moment */
byte listed[5]              /* bit mask of the writers of each revision */

byte known[WRITERS]
byte unknownBase[WRITERS]   /* base of the newest write of unknown outcome */
byte inFlightBase[WRITERS]          /* base of a write under way; 0: none */
byte inFlightMask[WRITERS]
mtype:writer state[WRITERS]

/* Newest vouchers that reached the instance; config 0 means none. A relay may
 * hold a voucher up, which is the same as using it later. */
byte voucherConfig[WRITERS]
byte voucherAsOf[WRITERS]
bit voucherFinal[WRITERS]

#define LISTED(w, r) ((listed[r] >> (w)) & 1)
#ifdef BROKEN_UNKNOWN
#define SETTLED(w) 1
#else
#define SETTLED(w) (unknownBase[w] == 0 || known[w] > unknownBase[w])
#endif
#define ENDED(w, r) (!LISTED(w, r) || state[w] == ended)
#ifdef BROKEN_REGISTER
#define MAY_WRITE(w) 1
#else
/* A listed writer, or anyone once all listed writers have ended. */
#define MAY_WRITE(w) (LISTED(w, known[w]) || \
  (ENDED(0, known[w]) && ENDED(1, known[w])))
#endif

inline vouch(w) {
  voucherConfig[w] = known[w];
  voucherAsOf[w] = revision;
  voucherFinal[w] = (state[w] == retired)
}

inline applyWrite(w) {
  if
  :: inFlightBase[w] == revision ->
     revision++;
     listed[revision] = inFlightMask[w];
     applied = 1
  :: else -> applied = 0
  fi;
  inFlightBase[w] = 0; inFlightMask[w] = 0
}

proctype Writer(byte w) {
  byte base;
  bit applied;

  do
  :: atomic { state[w] == idle && known[w] < revision -> known[w] = revision }
  :: atomic { state[w] == idle && revision < MAX_REVISION && known[w] > 0 && inFlightBase[w] == 0 && MAY_WRITE(w) ->
       state[w] = writing; base = known[w]; inFlightBase[w] = base;
       if
       :: inFlightMask[w] = 1
       :: inFlightMask[w] = 2
       :: inFlightMask[w] = 3
       fi
     }
  :: atomic { state[w] == writing && inFlightBase[w] != 0 -> applyWrite(w);
#ifndef BROKEN_OWN
       if
       :: applied -> known[w] = (base + 1 > known[w] -> base + 1 : known[w])
       :: else
       fi;
#endif
       state[w] = idle; applied = 0; base = 0 }
  :: atomic { state[w] == writing ->           /* the answer is late or lost */
       state[w] = uncertain; unknownBase[w] = base;
       if
       :: inFlightBase[w] = 0; inFlightMask[w] = 0
       :: skip
       fi;
       state[w] = idle; base = 0 }
  :: atomic { state[w] != writing && inFlightBase[w] != 0 -> applyWrite(w); applied = 0 }
  :: atomic { state[w] == idle && known[w] > 0 && SETTLED(w) -> vouch(w) }
  :: atomic { state[w] == idle && known[w] > 0 && SETTLED(w) -> state[w] = retired; vouch(w) }
  :: atomic { state[w] == idle || state[w] == retired -> state[w] = ended }
  :: atomic { state[w] == ended && inFlightBase[w] == 0 -> break }
  od
}

byte held

#define USABLE(w) (!LISTED(w, held) || (voucherConfig[w] > 0 && voucherConfig[w] <= held))
#define NOT_RETIRED(w) (LISTED(w, held) && !voucherFinal[w])
#ifdef BROKEN_FINAL
#define ONE_NOT_RETIRED 1
#else
#define ONE_NOT_RETIRED (NOT_RETIRED(0) || NOT_RETIRED(1))
#endif

/* One read of the store by the instance, whose answer takes its time. */
proctype Read() {
  byte sentAt, readRevision, before;

  sentAt = revision;
  readRevision = revision;
  atomic {
    before = held;
#ifdef BROKEN_REVERT
    held = readRevision;
#else
    held = (readRevision > held -> readRevision : held);
#endif
    assert(held >= before);
#ifdef BROKEN_SENT
    assert(held >= revision)
#else
    assert(held >= sentAt)
#endif
  }
}

/* An instance that uses keys. */
proctype Instance() {
  byte i, earliest;

  do
  :: atomic { held < known[0] -> held = known[0] }   /* from a peer */
  :: atomic { held < known[1] -> held = known[1] }
  :: atomic {                                  /* rule E2 */
       held > 0 && USABLE(0) && USABLE(1) && ONE_NOT_RETIRED ->
       earliest = revision; i = 0;
       do
       :: i < WRITERS ->
          if
          :: LISTED(i, held) && !voucherFinal[i] && voucherAsOf[i] < earliest -> earliest = voucherAsOf[i]
          :: else
          fi;
          i++
       :: else -> break
       od;
       assert(held >= earliest);
       i = 0; earliest = 0
     }
  od
}

init {
  atomic {
    if
    :: listed[1] = 1
    :: listed[1] = 3
    fi;
    known[0] = 1; known[1] = 1;
    state[0] = idle; state[1] = idle;
    run Writer(0); run Writer(1);
    run Read(); run Instance()
  }
}
