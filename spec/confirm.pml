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
#define MAX_TRIES 2

mtype:plan = { open, writing, uncertain, confirmed, stale, failed }

byte version = 1
byte took[OPERATORS]        /* how often the plan took effect */
byte sent[OPERATORS]        /* version expected by a write under way; 0: none */
mtype:plan state[OPERATORS]

inline deliver(i) {
  atomic {
    sent[i] != 0;
    if
    :: sent[i] == version -> version++; took[i]++; applied = 1
    :: else -> applied = 0
    fi;
    sent[i] = 0
  }
}

proctype Operator(byte i) {
  byte read, tries;
  bit applied;

  state[i] = open;
retry:
  read = 0;
  atomic {                  /* one read of the record */
#ifndef BROKEN_OPERATION_ID
    if
    :: took[i] > 0 -> state[i] = confirmed; goto told
    :: else
    fi;
#endif
#ifndef BROKEN_BASE
    if
    :: version != 1 -> state[i] = stale; goto told
    :: else
    fi;
#endif
    read = version
  }
  if
  :: sent[i] == 0 -> sent[i] = read
  :: else                   /* an earlier write is still under way */
  fi;
  state[i] = writing;
  if
  :: deliver(i);
     if
     :: applied -> state[i] = confirmed; goto told
     :: !applied -> goto retry
     fi
  :: deliver(i); state[i] = uncertain       /* the answer is lost */
  :: atomic { sent[i] = 0; state[i] = uncertain } /* the write is lost */
  :: state[i] = uncertain                   /* the write is late */
  fi;
  if
  :: tries < MAX_TRIES -> tries++; goto retry
  :: else -> state[i] = failed              /* outcome reported as unknown */
  fi;
told:
  assert(state[i] != confirmed || took[i] == 1);
  assert(state[i] != stale || took[i] == 0);
  if
  :: sent[i] != 0 -> deliver(i); assert(state[i] != stale || took[i] == 0)
  :: else
  fi;
  assert(took[i] <= 1);
  assert(version <= 2)      /* plans made on version 1 lead to version 2 at most */
}

init {
  atomic { run Operator(0); run Operator(1) }
}
