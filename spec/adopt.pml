/* Entries take over configurations: what is in force never reverts.
 *
 * The accepted revision grows. Control processes lag behind it by any amount;
 * one that was cut off for long comes back with what it had. An entry's
 * session begins with what a leader that has confirmed its lead had accepted;
 * later pieces of a session may come late and in any order, also from a control
 * process that lags. An entry keeps its last revision on a disk, or has none
 * and starts again with nothing in force until a session begins.
 *
 * Faults that must be caught, one each by -D:
 *   TAKE_ANY     an entry takes whatever comes
 *   FORGET_DISK  an entry with a disk starts again without what it had
 *   SERVE_UNCOMMITTED  control hands out a revision before it is accepted
 *   BEGIN_STALE  a session begins with what a lagging control process has
 */
#define ENTRIES 2
#define CONTROLS 2
#define MAX_REVISION 4

byte accepted;              /* highest revision that was accepted */
byte proposed;              /* highest revision that stands in a leader's log */
byte known[CONTROLS];       /* what each control process has applied */
byte inForce[ENTRIES];
byte disk[ENTRIES];
byte flying[ENTRIES];       /* a piece on its way, 0 for none */
byte highest[ENTRIES];      /* highest that was ever in force in this life */
byte least[ENTRIES];        /* accepted when the entry last started */
bool inSession[ENTRIES];

/* A new process: what was on its way to the old one is lost. */
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
       /* restart: entry 0 has a disk, entry 1 has none */
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
       /* Once a session's first piece is in force, it is no older state. */
       assert(!inSession[e] || flying[e] != 0 || inForce[e] >= least[e]);
       highest[e] = inForce[e];
       e = 0; c = 0
     }
  od
}
