/*
 * Orders to a backend server that ignores fencing numbers. Two agents compete
 * for a lease, stored as one object of the platform. Either agent may be paused
 * at any point, and responses to writes may be lost. Time is discrete. Orders
 * of the two agents never overlap.
 * MUTANT: a new holder does not wait for the maximum duration of an order.
 */
#define LEASE_TIME 2
#define ORDER_TIME_MAX 2
#define END_TIME 9

byte now = 0;
byte version = 0;
byte holder = 0;     /* index of the agent plus one; 0: no holder */
byte orderEndsAt[2];

active proctype Clock() {
  do
  :: atomic { now < END_TIME -> now++ }
  :: now >= END_TIME -> break
  od
}

proctype Agent(byte self) {
  byte seenVersion = 0, seenHolder = 0, firstSeenAt = 0;
  bool hasRead = false;
  bool isHolder = false;
  byte sentAt = 0, ordersFrom = 0;
  byte expectedVersion;
  bool tookOver;

  do
  :: now >= END_TIME -> break
  :: atomic {              /* read */
       now < END_TIME ->
       if
       :: hasRead && seenVersion == version
       :: else -> firstSeenAt = now
       fi;
       seenVersion = version;
       seenHolder = holder;
       hasRead = true
     }
  :: atomic {              /* send a write */
       now < END_TIME && hasRead && seenHolder != self + 1 &&
       (seenHolder == 0 || now - firstSeenAt >= LEASE_TIME) ->
       expectedVersion = seenVersion;
       tookOver = (seenHolder != 0);
       sentAt = now;
       isHolder = false
     }
     /* the write is in flight; the agent may be paused here */
     atomic {
       if
       :: version == expectedVersion ->
          version++;
          holder = self + 1;
          if
          :: isHolder = true; /* the response arrived */
             seenVersion = version;
             seenHolder = self + 1;
             firstSeenAt = now;
#ifndef MUTANT
             ordersFrom = now + (tookOver -> ORDER_TIME_MAX : 0)
#else
             ordersFrom = now
#endif
          :: hasRead = false  /* the response was lost */
          fi
       :: version != expectedVersion -> hasRead = false
       fi
     }
  :: atomic {              /* check the lease and send an order */
       now < END_TIME && isHolder && now >= ordersFrom &&
       now - sentAt < LEASE_TIME ->
       orderEndsAt[self] = now + ORDER_TIME_MAX;
       assert(orderEndsAt[1 - self] <= now)
     }
  od
}

init {
  atomic { run Agent(0); run Agent(1) }
}
