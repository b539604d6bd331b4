/* Activation of configuration revisions by entries: the active revision never
 * goes back.
 *
 * The accepted revision only increases. Control processes may lag behind it by
 * any number of revisions; after a long network partition one continues with
 * the revision it had. A session of an entry starts with the accepted revision
 * of a leader that has confirmed its leadership. Later updates of the session
 * may be delayed and reordered, and may come from a lagging control process. An
 * entry with a disk stores its last revision there; an entry without one
 * restarts with no active revision until a session starts.
 *
 * Injected faults that the check must detect, each enabled with -D:
 *   TAKE_ANY           an entry activates every update, even an older one
 *   FORGET_DISK        an entry with a disk restarts without its stored revision
 *   SERVE_UNCOMMITTED  control sends a revision before it is accepted
 *   BEGIN_STALE        a session starts with the revision of a lagging control
 *                      process
 */
#define ENTRIES 2
#define CONTROLS 2
#define MAX_REVISION 4

byte accepted;              /* highest accepted revision */
byte proposed;              /* highest revision in a leader's log */
byte known[CONTROLS];       /* revision that each control process applied */
byte inForce[ENTRIES];
byte disk[ENTRIES];
byte flying[ENTRIES];       /* update in transit; 0 for none */
byte highest[ENTRIES];      /* highest active revision; without a disk, since the restart */
byte least[ENTRIES];        /* accepted revision when the entry last started */
bool inSession[ENTRIES];

/* Starts a new process; the update in transit to the old one is lost. */
inline restart(e) {
  flying[e] = 0;
  inSession[e] = false;
  least[e] = accepted
}

active proctype fleet() {
  byte e, c;
end:
  do
  :: atomic {
       select(e : 0 .. ENTRIES - 1);
       select(c : 0 .. CONTROLS - 1);
       if
       :: proposed < MAX_REVISION -> proposed++
       :: accepted < proposed -> accepted++
       :: accepted < proposed -> proposed = accepted
       :: known[c] < accepted -> known[c]++
#ifdef BEGIN_STALE
       :: !inSession[e] && known[c] > 0 -> inSession[e] = true; flying[e] = known[c]
#else
       :: !inSession[e] && accepted > 0 -> inSession[e] = true; flying[e] = accepted
#endif
#ifdef SERVE_UNCOMMITTED
       :: inSession[e] && flying[e] == 0 && proposed > 0 -> flying[e] = proposed
#else
       :: inSession[e] && flying[e] == 0 && known[c] > 0 -> flying[e] = known[c]
#endif
       :: flying[e] != 0 ->
          if
#ifndef TAKE_ANY
          :: flying[e] > inForce[e] ->
#else
          :: true ->
#endif
             inForce[e] = flying[e]; disk[e] = flying[e]
          :: else
          fi;
          flying[e] = 0
       /* Restart: entry 0 has a disk, entry 1 has none. */
       :: e == 0 ->
#ifdef FORGET_DISK
          inForce[e] = 0;
#else
          inForce[e] = disk[e];
#endif
          restart(e)
       :: e == 1 -> inForce[e] = 0; highest[e] = 0; restart(e)
       :: else -> skip
       fi;
       assert(inForce[e] >= highest[e]);
       assert(inForce[e] <= accepted);
       /* Once the first update of a session is active, the entry is at least at
        * the revision that was accepted when it started. */
       assert(!inSession[e] || flying[e] != 0 || inForce[e] >= least[e]);
       highest[e] = inForce[e];
       e = 0; c = 0
     }
  od
}
