/*
 * Claims of one idempotency key. Two agents write one object of the platform
 * by conditional update; answers are lost, writes land late, an agent
 * restarts, and the caller resends through both agents.
 * With MUTANT an agent replaces the claim of an earlier incarnation.
 */
#define REQUESTS 3
#define RETRIES 2

byte version = 0;
byte claimedBy = 0;      /* attempt, 0 for none */
byte claimAgent = 0;
byte claimIncarnation = 0;
bool isDone = false;

byte incarnation[2];
byte fate[REQUESTS + 1]; /* 0 never dispatched, 1 running, 2 dispatched */
bool ran[REQUESTS + 1];
bool saidNo[REQUESTS + 1];
byte runs = 0;

bool lateWaits[REQUESTS + 1];
byte lateVersion[REQUESTS + 1];
byte lateAgent[REQUESTS + 1];
byte lateIncarnation[REQUESTS + 1];

inline applyWrite(attempt, agent, inc) {
  version++;
  claimedBy = attempt;
  claimAgent = agent;
  claimIncarnation = inc;
  isDone = false
}

inline refuse(attempt) {
  saidNo[attempt] = true;
  assert(!ran[attempt])
}

proctype Request(byte attempt; byte agent) {
  byte inc, seenVersion, seenClaim, seenAgent, seenInc;
  bool seenDone;
  byte tries = 0;
  byte replaces = 0;

  atomic { inc = incarnation[agent]; fate[attempt] = 1 }
read:
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: else
    fi;
    seenVersion = version;
    seenClaim = claimedBy;
    seenAgent = claimAgent;
    seenInc = claimIncarnation;
    seenDone = isDone
  }
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: else
    fi;
    if
    :: seenClaim == attempt -> goto granted
    :: seenClaim == 0 || seenClaim == replaces -> goto write
    :: else -> goto judge
    fi
  }
judge:
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: else
    fi;
    if
    :: seenDone -> fate[attempt] = 0; goto end
    :: !seenDone && seenAgent != agent -> fate[attempt] = 0; goto end
#ifndef MUTANT
    :: !seenDone && seenAgent == agent && seenInc != inc ->
       fate[attempt] = 0; goto end
    :: !seenDone && seenAgent == agent && seenInc == inc &&
       fate[seenClaim] != 0 -> fate[attempt] = 0; goto end
    :: !seenDone && seenAgent == agent && seenInc == inc &&
       fate[seenClaim] == 0 -> replaces = seenClaim; goto write
#else
    :: !seenDone && seenAgent == agent && fate[seenClaim] != 0 ->
       fate[attempt] = 0; goto end
    :: !seenDone && seenAgent == agent && fate[seenClaim] == 0 ->
       replaces = seenClaim; goto write
#endif
    fi
  }
write:
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: else
    fi;
    if
    :: tries == RETRIES -> fate[attempt] = 0; refuse(attempt); goto end
    :: else -> tries++
    fi;
    if
    :: version == seenVersion ->
       applyWrite(attempt, agent, inc);
       if
       :: goto granted   /* answered */
       :: goto read      /* answer lost, settled by reading */
       fi
    :: version != seenVersion -> goto read
    :: !lateWaits[attempt] ->
       lateWaits[attempt] = true;
       lateVersion[attempt] = seenVersion;
       lateAgent[attempt] = agent;
       lateIncarnation[attempt] = inc;
       goto read         /* no answer, lands later or never */
    fi
  }
granted:
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: else
    fi;
    fate[attempt] = 2;
    ran[attempt] = true;
    assert(!saidNo[attempt]);
    runs++;
    assert(runs <= 1)
  }
  atomic {
    if
    :: incarnation[agent] != inc -> goto dead
    :: incarnation[agent] == inc && claimedBy == attempt ->
       version++; isDone = true
    :: incarnation[agent] == inc -> skip /* the outcome is not stored */
    fi
  }
  goto end;
dead:
  skip;
end:
  skip
}

inline land(i) {
  lateWaits[i] = false;
  if
  :: version == lateVersion[i] ->
     applyWrite(i, lateAgent[i], lateIncarnation[i])
  :: else
  fi
}

active proctype Network() {
  end_wait:
  do
  :: atomic { lateWaits[1] -> land(1) }
  :: atomic { lateWaits[2] -> land(2) }
  :: atomic { lateWaits[3] -> land(3) }
  od
}

active proctype Restart() {
  atomic {
    incarnation[0]++;
    fate[1] = 0;
    fate[2] = 0
  }
}

init {
  run Request(1, 0);
  run Request(2, 0);
  run Request(3, 1)
}
