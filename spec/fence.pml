/*
 * Orders to a backend server that ignores fencing numbers. Two agents take a
 * lease, kept as one object of the platform; either may be paused at any
 * point, and answers of writes may be lost. Time is discrete.
 * With MUTANT a new holder does not wait for the longest order.
 */
#define LEASE 2
#define ORDER 2
#define END 9

byte now = 0;
byte version = 0;
byte holder = 0;          /* agent number plus one, 0 for none */
byte orderUntil[2];

active proctype Clock() {
  do
  :: atomic { now < END -> now++ }
  :: now >= END -> break
  od
}

proctype Agent(byte me) {
  byte seenVersion = 0, seenHolder = 0, seenAt = 0;
  bool hasSeen = false;
  bool holds = false;
  byte sentAt = 0, ordersFrom = 0;
  byte expected;
  bool tookOver;

  do
  :: now >= END -> break
  :: atomic {              /* read */
       now < END ->
       if
       :: hasSeen && seenVersion == version
       :: else -> seenAt = now
       fi;
       seenVersion = version;
       seenHolder = holder;
       hasSeen = true
     }
  :: atomic {              /* send a write */
       now < END && hasSeen && seenHolder != me + 1 &&
       (seenHolder == 0 || now - seenAt >= LEASE) ->
       expected = seenVersion;
       tookOver = (seenHolder != 0);
       sentAt = now;
       holds = false
     }
     /* the write travels; the agent may be paused here */
     atomic {
       if
       :: version == expected ->
          version++;
          holder = me + 1;
          if
          :: holds = true;   /* answered */
             seenVersion = version;
             seenHolder = me + 1;
             seenAt = now;
#ifndef MUTANT
             ordersFrom = now + (tookOver -> ORDER : 0)
#else
             ordersFrom = now
#endif
          :: hasSeen = false /* answer lost */
          fi
       :: version != expected -> hasSeen = false
       fi
     }
  :: atomic {              /* order, checked right before it is sent */
       now < END && holds && now >= ordersFrom && now - sentAt < LEASE ->
       orderUntil[me] = now + ORDER;
       assert(orderUntil[1 - me] <= now)
     }
  od
}

init {
  atomic { run Agent(0); run Agent(1) }
}
