/*
 * Replication of one configuration record to three nodes. The first node
 * watches the platform, which has an outage. Nodes send the record to each
 * other over links that delay messages. The third node restarts at any time,
 * also during the outage, and gets the record from its peers. No ready node
 * reverts to an older version, and all nodes converge.
 * MUTANT: a node accepts the version that arrived last, even if it is older.
 */
#define NODES 3
#define VERSION_MAX 3
#define MESSAGES_MAX 5

byte platformVersion = 1;
byte storedVersion[NODES];
bool ready[NODES];
chan link[NODES] = [2] of { byte };
bool restarted = false;
bool platformUp = true;
byte messagesSent = 0;

byte previousVersion;

inline acceptVersion(node, version) {
  previousVersion = storedVersion[node];
#ifndef MUTANT
  if
  :: version > storedVersion[node] -> storedVersion[node] = version
  :: else
  fi;
#else
  storedVersion[node] = version;
#endif
  assert(!ready[node] || storedVersion[node] >= previousVersion);
  ready[node] = true
}

active proctype Operator() {
  do
  :: atomic { platformVersion < VERSION_MAX && platformUp -> platformVersion++ }
  :: platformVersion == VERSION_MAX -> break
  od
}

active proctype Outage() {
  platformUp = false;
  platformUp = true
}

active proctype Watcher() {
  byte version;
  do
  :: atomic {
       platformUp && storedVersion[0] != platformVersion ->
       version = platformVersion
     }
     /* the record may change again before the response arrives */
     d_step { acceptVersion(0, version) }
  :: atomic {
       platformVersion == VERSION_MAX && storedVersion[0] == VERSION_MAX ->
       break
     }
  od
}

active proctype Gossip() {
  byte from, to;
  do
  :: atomic {
       messagesSent < MESSAGES_MAX;
       if
       :: from = 0
       :: from = 1
       :: from = 2
       fi;
       if
       :: to = 0
       :: to = 1
       :: to = 2
       fi;
       if
       :: ready[from] && from != to && len(link[to]) < 2 ->
          link[to] ! storedVersion[from]; messagesSent++
       :: else
       fi
     }
  :: messagesSent >= MESSAGES_MAX -> break
  od
}

proctype Receiver(byte node) {
  byte version;
  end_receive:
  do
  :: atomic { link[node] ? version -> d_step { acceptVersion(node, version) } }
  od
}

active proctype Restart() {
  atomic { ready[2] = false; storedVersion[2] = 0; restarted = true }
}

init {
  atomic { run Receiver(0); run Receiver(1); run Receiver(2) }
  /* After all changes and messages, one more exchange makes the nodes equal. */
  (messagesSent >= MESSAGES_MAX && platformVersion == VERSION_MAX &&
   storedVersion[0] == VERSION_MAX && restarted);
  (empty(link[0]) && empty(link[1]) && empty(link[2]));
  atomic {
    d_step { acceptVersion(1, storedVersion[0]) };
    d_step { acceptVersion(2, storedVersion[0]) };
    assert(storedVersion[1] == storedVersion[0] &&
           storedVersion[2] == storedVersion[0])
  }
}
