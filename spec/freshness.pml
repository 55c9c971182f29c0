/* How an instance knows that its configuration is recent, during an outage of the store
 * too. Package internal/freshness implements these rules.
 *
 * Each revision of the configuration lists the instances that may write the next one,
 * the writers. Revision 1 lists writer 0, or both. A writer vouches that it knows no
 * write of its own beyond a revision. An instance gets revisions and vouchers from the
 * store or through relays, so that they may be old. If every listed writer vouches,
 * the instance's evidence is as recent as the oldest of these vouchers. Writers may be
 * cut off, paused (never scheduled), end, or retire in good order with a final voucher.
 *
 * A time is represented by the newest revision that was accepted by then, so that no
 * clock is needed.
 *
 * Properties: the instance has every revision that was accepted before the date (AsOf)
 * of its evidence. It never goes back to an older revision.
 *
 * Variants, in each of which an assertion must fail:
 *   BROKEN_UNKNOWN: a writer vouches although a write of its own has an unknown outcome.
 *   BROKEN_OWN: a writer vouches for less than a write of its own that succeeded.
 *   BROKEN_REGISTER: an instance writes that is not listed.
 *   BROKEN_FINAL: final vouchers suffice, without one of a writer that has not retired.
 *   BROKEN_SENT: evidence is dated at the answer instead of the sending of the read.
 *   BROKEN_REVERT: an older revision replaces a newer one.
 */
#ifndef MAX_REVISION
#define MAX_REVISION 2      /* no write goes beyond it */
#endif
#define WRITERS 2

mtype:writer = { idle, writing, uncertain, retired, ended }

byte revision = 1           /* newest accepted; also stands for the time */
byte listed[5]              /* bit mask of the writers of each revision */

byte known[WRITERS]         /* newest revision that each writer knows; 0: none */
byte unknownBase[WRITERS]   /* base of the newest write of unknown outcome */
byte inFlightBase[WRITERS]  /* revision that a write under way expects; 0: none */
byte inFlightMask[WRITERS]  /* writers that it lists */
mtype:writer state[WRITERS]

/* Newest vouchers that reached the instance: revision (0: no voucher), date, and whether
 * it is final. A relay that delays a voucher is not modelled, since that is the same as
 * using the voucher later. */
byte voucherConfig[WRITERS]
byte voucherAsOf[WRITERS]
bit voucherFinal[WRITERS]

/* Revision r lists writer w. */
#define LISTED(w, r) ((listed[r] >> (w)) & 1)
/* Writer w has no write of unknown outcome that could still take effect. */
#ifdef BROKEN_UNKNOWN
#define SETTLED(w) 1
#else
#define SETTLED(w) (unknownBase[w] == 0 || known[w] > unknownBase[w])
#endif
/* Revision r does not list writer w, or the writer has ended. */
#define ENDED(w, r) (!LISTED(w, r) || state[w] == ended)
#ifdef BROKEN_REGISTER
#define MAY_WRITE(w) 1
#else
/* A listed writer, or anyone once all listed writers have ended. */
#define MAY_WRITE(w) (LISTED(w, known[w]) || \
  (ENDED(0, known[w]) && ENDED(1, known[w])))
#endif

/* Writer w vouches now, and the voucher reaches the instance. */
inline vouch(w) {
  voucherConfig[w] = known[w];
  voucherAsOf[w] = revision;
  voucherFinal[w] = (state[w] == retired)
}

/* The store handles the write of writer w and sets applied to the result. */
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

/* A writer. Its branches are, in order: learn a revision, begin a write, get the answer,
 * give up waiting, have a late write handled, vouch, retire, end. */
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
  :: atomic { state[w] == writing ->           /* the answer is late, or the write lost */
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

byte held                   /* revision that the instance has in force; 0: none */

/* Writer w is not listed, or has vouched for a revision that the instance has. */
#define USABLE(w) (!LISTED(w, held) || (voucherConfig[w] > 0 && voucherConfig[w] <= held))
/* Listed writer w has sent no final voucher. */
#define NOT_RETIRED(w) (LISTED(w, held) && !voucherFinal[w])
/* If all listed writers have ended, anyone may write, so final vouchers alone say
 * nothing about later writes. */
#ifdef BROKEN_FINAL
#define ONE_NOT_RETIRED 1
#else
#define ONE_NOT_RETIRED (NOT_RETIRED(0) || NOT_RETIRED(1))
#endif

/* One read of the store by the instance, with an answer that may arrive late. */
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

/* The instance, which uses keys while its evidence allows it. */
proctype Instance() {
  byte i, earliest;

  do
  :: atomic { held < known[0] -> held = known[0] }   /* pulled from a peer */
  :: atomic { held < known[1] -> held = known[1] }
  :: atomic {                                  /* evidence by vouchers */
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
