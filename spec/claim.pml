/*
 * Claims of one idempotency key. Two agents write one object of the platform
 * by conditional update. Responses to writes are lost, writes are applied
 * late, an agent restarts, and the caller resends the request through both
 * agents. At most one attempt is executed, and an attempt that was reported as
 * not run is never executed.
 * MUTANT: an agent replaces a claim of its earlier incarnation.
 */
#define REQUESTS 3
#define WRITES_MAX 2 /* conditional writes that one attempt may send */

/* Status of an attempt, as its agent knows it. A restart resets it. */
#define NEVER_DISPATCHED 0
#define RUNNING 1
#define DISPATCHED 2

byte version = 0;
byte claimedAttempt = 0; /* 0: no claim */
byte claimAgent = 0;
byte claimIncarnation = 0;
bool isDone = false;

byte incarnation[2];
byte status[REQUESTS + 1];
bool executed[REQUESTS + 1];
bool reportedNotRun[REQUESTS + 1];
byte executions = 0;

bool writePending[REQUESTS + 1];
byte pendingVersion[REQUESTS + 1];
byte pendingAgent[REQUESTS + 1];
byte pendingIncarnation[REQUESTS + 1];

inline applyWrite(attempt, agent, writerIncarnation) {
  version++;
  claimedAttempt = attempt;
  claimAgent = agent;
  claimIncarnation = writerIncarnation;
  isDone = false
}

inline refuse(attempt) {
  reportedNotRun[attempt] = true;
  assert(!executed[attempt])
}

proctype Request(byte attempt; byte agent) {
  byte ownIncarnation, seenVersion, seenAttempt, seenAgent, seenIncarnation;
  bool seenDone;
  byte writesSent = 0;
  byte replaceableAttempt = 0;

  atomic { ownIncarnation = incarnation[agent]; status[attempt] = RUNNING }
read:
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: else
    fi;
    seenVersion = version;
    seenAttempt = claimedAttempt;
    seenAgent = claimAgent;
    seenIncarnation = claimIncarnation;
    seenDone = isDone
  }
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: else
    fi;
    if
    :: seenAttempt == attempt -> goto claimed
    :: seenAttempt == 0 || seenAttempt == replaceableAttempt -> goto write
    :: else -> goto resolve
    fi
  }
resolve:
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: else
    fi;
    if
    :: seenDone -> status[attempt] = NEVER_DISPATCHED; goto end
    :: !seenDone && seenAgent != agent ->
       status[attempt] = NEVER_DISPATCHED; goto end
#ifndef MUTANT
    :: !seenDone && seenAgent == agent &&
       seenIncarnation != ownIncarnation ->
       status[attempt] = NEVER_DISPATCHED; goto end
    :: !seenDone && seenAgent == agent &&
       seenIncarnation == ownIncarnation &&
       status[seenAttempt] != NEVER_DISPATCHED ->
       status[attempt] = NEVER_DISPATCHED; goto end
    :: !seenDone && seenAgent == agent &&
       seenIncarnation == ownIncarnation &&
       status[seenAttempt] == NEVER_DISPATCHED ->
       replaceableAttempt = seenAttempt; goto write
#else
    :: !seenDone && seenAgent == agent &&
       status[seenAttempt] != NEVER_DISPATCHED ->
       status[attempt] = NEVER_DISPATCHED; goto end
    :: !seenDone && seenAgent == agent &&
       status[seenAttempt] == NEVER_DISPATCHED ->
       replaceableAttempt = seenAttempt; goto write
#endif
    fi
  }
write:
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: else
    fi;
    if
    :: writesSent == WRITES_MAX ->
       status[attempt] = NEVER_DISPATCHED; refuse(attempt); goto end
    :: else -> writesSent++
    fi;
    if
    :: version == seenVersion ->
       applyWrite(attempt, agent, ownIncarnation);
       if
       :: goto claimed   /* the response arrived */
       :: goto read      /* the response was lost; read the claim */
       fi
    :: version != seenVersion -> goto read
    :: !writePending[attempt] ->
       writePending[attempt] = true;
       pendingVersion[attempt] = seenVersion;
       pendingAgent[attempt] = agent;
       pendingIncarnation[attempt] = ownIncarnation;
       goto read         /* no response; applied later or never */
    fi
  }
claimed:
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: else
    fi;
    status[attempt] = DISPATCHED;
    executed[attempt] = true;
    assert(!reportedNotRun[attempt]);
    executions++;
    assert(executions <= 1)
  }
  atomic {
    if
    :: incarnation[agent] != ownIncarnation -> goto stopped
    :: incarnation[agent] == ownIncarnation && claimedAttempt == attempt ->
       version++; isDone = true
    :: incarnation[agent] == ownIncarnation ->
       skip              /* storing the outcome failed */
    fi
  }
  goto end;
stopped:
  skip;
end:
  skip
}

inline deliverWrite(i) {
  writePending[i] = false;
  if
  :: version == pendingVersion[i] ->
     applyWrite(i, pendingAgent[i], pendingIncarnation[i])
  :: else
  fi
}

active proctype Network() {
  end_wait:
  do
  :: atomic { writePending[1] -> deliverWrite(1) }
  :: atomic { writePending[2] -> deliverWrite(2) }
  :: atomic { writePending[3] -> deliverWrite(3) }
  od
}

active proctype Restart() {
  atomic {
    incarnation[0]++;
    status[1] = NEVER_DISPATCHED;
    status[2] = NEVER_DISPATCHED
  }
}

init {
  run Request(1, 0);
  run Request(2, 0);
  run Request(3, 1)
}
