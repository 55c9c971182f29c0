/* Two operators confirm a plan each, while answers of the store may be lost.
 *
 * Both plans were made on version 1 of the configuration. To confirm a plan is to
 * write the next version by a compare-and-swap. The write may be answered, be lost
 * before it reaches the store, or take effect without an answer, even after the
 * operator has begun to try again.
 *
 * Properties: the outcome that an operator is told is true. A plan takes effect at most
 * once, and only on the version that it was made on.
 *
 * Variants, in each of which an assertion must fail:
 *   BROKEN_OPERATION_ID: a retry does not check whether its plan has taken effect.
 *   BROKEN_BASE: a plan is confirmed on any version.
 */
#define OPERATORS 2
#define MAX_RETRIES 2       /* of each operator */

/* What an operator knows of its plan. */
mtype:plan = { open, writing, uncertain, confirmed, stale, failed }

byte version = 1            /* of the configuration in the store */
byte timesApplied[OPERATORS]    /* how often the plan took effect */
byte inFlightBase[OPERATORS]    /* version that a write under way expects; 0: none */
mtype:plan state[OPERATORS]

/* The store handles the write of operator i and sets applied to the result. */
inline applyWrite(i) {
  atomic {
    inFlightBase[i] != 0;
    if
    :: inFlightBase[i] == version -> version++; timesApplied[i]++; applied = 1
    :: else -> applied = 0
    fi;
    inFlightBase[i] = 0
  }
}

proctype Operator(byte i) {
  byte base, retries;
  bit applied;

  state[i] = open;
retry:
  base = 0;
  atomic {                  /* one read of the configuration record */
#ifndef BROKEN_OPERATION_ID
    if
    :: timesApplied[i] > 0 -> state[i] = confirmed; goto reported
    :: else
    fi;
#endif
#ifndef BROKEN_BASE
    if
    :: version != 1 -> state[i] = stale; goto reported
    :: else
    fi;
#endif
    base = version
  }
  if
  :: inFlightBase[i] == 0 -> inFlightBase[i] = base
  :: else                   /* the earlier write is still under way */
  fi;
  state[i] = writing;
  if
  :: applyWrite(i);
     if
     :: applied -> state[i] = confirmed; goto reported
     :: !applied -> goto retry
     fi
  :: applyWrite(i); state[i] = uncertain    /* the answer is lost */
  :: atomic { inFlightBase[i] = 0; state[i] = uncertain }    /* the write is lost */
  :: state[i] = uncertain                   /* the write is late */
  fi;
  if
  :: retries < MAX_RETRIES -> retries++; goto retry
  :: else -> state[i] = failed              /* the operator is told that the outcome is unknown */
  fi;
reported:                   /* the operator has been told state[i] */
  assert(state[i] != confirmed || timesApplied[i] == 1);
  assert(state[i] != stale || timesApplied[i] == 0);
  if                        /* a late write still arrives */
  :: inFlightBase[i] != 0 -> applyWrite(i); assert(state[i] != stale || timesApplied[i] == 0)
  :: else
  fi;
  assert(timesApplied[i] <= 1);
  assert(version <= 2)      /* both plans were made on version 1, so one of them at most takes effect */
}

init {
  atomic { run Operator(0); run Operator(1) }
}
