/*
 * The scheduler of one agent. Two entries offer calls on stale state while
 * configuration records take the agent's availability zone out of service and
 * back, and the backend server returns to a cold start. No call is dispatched
 * while the zone is out of service or beyond the limit of running calls, and
 * each call ends in exactly one way.
 * MUTANT: calls stay queued when the zone is taken out of service, and dispatch
 * does not check the zone.
 */
#define CALLS 4

/* Limits of running calls, after and during a cold start. */
#define WARM_LIMIT 2
#define COLD_LIMIT 1

bool zoneInService = true;
bool isCold = true;
byte running = 0;
byte queued = 0;
byte accepted = 0;
byte finished = 0;
byte refusedQueued = 0;
byte refusedOnArrival = 0;
byte offered = 0;
byte shed = 0;

#define RUNNING_LIMIT (isCold -> COLD_LIMIT : WARM_LIMIT)

active proctype Scheduler() {
  end_scheduler:
  do
#ifndef MUTANT
  :: atomic {
       queued > 0 && running < RUNNING_LIMIT && zoneInService ->
#else
  :: atomic {
       queued > 0 && running < RUNNING_LIMIT ->
#endif
       queued--;
       running++;
       assert(zoneInService);
       assert(running <= RUNNING_LIMIT)
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
       :: zoneInService -> queued++; accepted++
       :: else -> refusedOnArrival++
       fi
     }
  :: calls == 0 -> break
  od
}

active proctype ZoneRecords() {
  byte changes = 0;
  do
  :: atomic {
       changes < 3 ->
       changes++;
       zoneInService = !zoneInService;
#ifndef MUTANT
       if
       :: !zoneInService ->
          refusedQueued = refusedQueued + queued; queued = 0
       :: else
       fi
#endif
     }
  :: atomic { changes >= 3 -> zoneInService = true; break }
  od
}

active proctype BackendServer() {
  byte coldStarts = 0;
  do
  :: atomic { isCold -> isCold = false }
  :: atomic {
       !isCold && coldStarts < 2 ->
       coldStarts++;
       isCold = true;
       /* the newest calls beyond the cold limit are shed */
       if
       :: running > COLD_LIMIT ->
          shed = shed + running - COLD_LIMIT; running = COLD_LIMIT
       :: else
       fi
     }
  :: !isCold && coldStarts >= 2 -> break
  od
}

init {
  atomic { run Entry(2); run Entry(2) }
  (offered == CALLS && queued == 0 && running == 0 && zoneInService);
  assert(finished + refusedQueued + refusedOnArrival + shed == CALLS)
}
