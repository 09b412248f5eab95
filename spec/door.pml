/*
 * The door of one agent. Two entries send calls on stale knowledge while
 * records take the availability zone out and back and the backend server
 * falls back into a cold start.
 * With MUTANT queued calls stay in the queue when the zone is taken out, and
 * dispatch does not look at the zone.
 */
#define CALLS 4
#define WARM 2
#define COLD 1

bool zoneIn = true;
bool isCold = true;
byte running = 0;
byte queued = 0;
byte accepted = 0;
byte finished = 0;
byte returned = 0;
byte refused = 0;
byte offered = 0;
byte sheds = 0;

#define LIMIT (isCold -> COLD : WARM)

active proctype Door() {
  end_door:
  do
#ifndef MUTANT
  :: atomic {
       queued > 0 && running < LIMIT && zoneIn ->
#else
  :: atomic {
       queued > 0 && running < LIMIT ->
#endif
       queued--;
       running++;
       assert(zoneIn);
       assert(running <= LIMIT)
     }
  :: atomic { running > 0 -> running--; finished++ }
  od
}

proctype Entry(byte calls) {
  do
  :: atomic {
       calls > 0 ->
       calls--;
       offered++;
       if
       :: zoneIn -> queued++; accepted++
       :: else -> refused++
       fi
     }
  :: calls == 0 -> break
  od
}

active proctype Records() {
  byte changes = 0;
  do
  :: atomic {
       changes < 3 ->
       changes++;
       zoneIn = !zoneIn;
#ifndef MUTANT
       if
       :: !zoneIn -> returned = returned + queued; queued = 0
       :: else
       fi
#endif
     }
  :: atomic { changes >= 3 -> zoneIn = true; break }
  od
}

active proctype Engine() {
  byte falls = 0;
  do
  :: atomic { isCold -> isCold = false }
  :: atomic {
       !isCold && falls < 2 ->
       falls++;
       isCold = true;
       /* the newest calls over the cold limit are shed */
       if
       :: running > COLD ->
          sheds = sheds + running - COLD; running = COLD
       :: else
       fi
     }
  :: !isCold && falls >= 2 -> break
  od
}

init {
  atomic { run Entry(2); run Entry(2) }
  (offered == CALLS && queued == 0 && running == 0 && zoneIn);
  assert(finished + returned + refused + sheds == CALLS)
}
