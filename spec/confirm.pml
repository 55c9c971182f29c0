/* Plan and confirm with lost answers and racing operators.
 *
 * Each operator confirms a plan that was made on version 1. Its
 * compare-and-swap may be answered, lost before the store, or take effect
 * without an answer, also after the operator has begun to try again.
 *
 * Property: the word that an operator is given is true, and a plan takes
 * effect at most once, and only on the version that it was made on.
 *
 * Variants that must fail: BROKEN_OPERATION_ID (a retry does not look for its
 * own success), BROKEN_BASE (a plan is confirmed on any version).
 */
#define OPERATORS 2
#define MAX_RETRIES 2

mtype:plan = { open, writing, uncertain, confirmed, stale, failed }

byte version = 1
byte timesApplied[OPERATORS]        /* how often the plan took effect */
byte inFlightBase[OPERATORS]        /* version expected by a write under way; 0: none */
mtype:plan state[OPERATORS]

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
  atomic {                  /* one read of the record */
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
  :: else                   /* an earlier write is still under way */
  fi;
  state[i] = writing;
  if
  :: applyWrite(i);
     if
     :: applied -> state[i] = confirmed; goto reported
     :: !applied -> goto retry
     fi
  :: applyWrite(i); state[i] = uncertain       /* the answer is lost */
  :: atomic { inFlightBase[i] = 0; state[i] = uncertain } /* the write is lost */
  :: state[i] = uncertain                   /* the write is late */
  fi;
  if
  :: retries < MAX_RETRIES -> retries++; goto retry
  :: else -> state[i] = failed              /* outcome reported as unknown */
  fi;
reported:
  assert(state[i] != confirmed || timesApplied[i] == 1);
  assert(state[i] != stale || timesApplied[i] == 0);
  if
  :: inFlightBase[i] != 0 -> applyWrite(i); assert(state[i] != stale || timesApplied[i] == 0)
  :: else
  fi;
  assert(timesApplied[i] <= 1);
  assert(version <= 2)      /* plans made on version 1 lead to version 2 at most */
}

init {
  atomic { run Operator(0); run Operator(1) }
}
