/* At most one run of a request that must not run twice.
 *
 * Two entries get the same request, from one caller that sends it again. Each
 * asks the quorum for a claim before it sends the request on. The leader's
 * proposal becomes part of the log at any later time, or never; the leader may
 * change in between, so that the entry is told `unavailable` although the
 * claim is recorded later. An entry may crash at any time; a new process then
 * serves the caller's next try. What `not_run` promises is checked too.
 *
 * Faults that must be caught, one each by -D:
 *   SEND_FIRST      the request is sent before the claim is known
 *   REGRANT_DEAD    a claim whose holder has died is granted again
 *   RETRY_UNKNOWN   an entry sends again after an answer that never came
 *   FREE_UNKNOWN    an entry gives a claim back although the request may have run
 *   WRONG_NOT_RUN   a timeout after sending is reported as not run
 *   ONE_HOLDER      all attempts of an entry are one holder, so that giving
 *                   up one gives back the claim of another
 */
#define ENTRIES 2
#define MAX_TRIES 3
#define MAX_CRASHES 2

#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define SENT 3

/* The claim in the log. */
#define FREE 0
#define RUNNING 1
#define ENDED 2

byte phase[ENTRIES];
byte asked[ENTRIES];        /* proposals on their way, by incarnation */
byte releases[ENTRIES];     /* releases on their way, by incarnation */
byte incarnation[ENTRIES];  /* names the process, or each attempt of it */
byte holder;                /* entry + 1 */
byte holderIncarnation;
byte claim;
byte runs;                  /* how often the upstream ran the request */
byte tries;
byte crashes;
bool ran[ENTRIES];          /* this entry's try reached the upstream */

inline runRequest() {
  runs++;
  assert(runs <= 1)
}

inline begin(e) {
  tries++;
#ifndef ONE_HOLDER
  incarnation[e]++;
#endif
  ran[e] = false;
  phase[e] = ASKED;
  asked[e] = incarnation[e] + 1;
#ifdef SEND_FIRST
  runRequest();
#endif
}

inline recordClaim(e) {
  if
  :: claim == FREE ->
     claim = RUNNING; holder = e + 1; holderIncarnation = asked[e];
     if
     :: phase[e] == ASKED && asked[e] == incarnation[e] + 1 -> phase[e] = GRANTED
     :: else
     fi
#ifdef REGRANT_DEAD
  :: claim == RUNNING && incarnation[holder - 1] + 1 != holderIncarnation ->
     holder = e + 1; holderIncarnation = asked[e];
     if
     :: phase[e] == ASKED && asked[e] == incarnation[e] + 1 -> phase[e] = GRANTED
     :: else
     fi
#endif
  :: else ->
     /* running, ended or unknown: this try does not run it */
     if
     :: phase[e] == ASKED && asked[e] == incarnation[e] + 1 -> phase[e] = IDLE
     :: else
     fi
  fi;
  asked[e] = 0
}

/* The release is recorded behind the claim that it gives back. */
inline recordRelease(e) {
  if
  :: claim == RUNNING && holder == e + 1 && holderIncarnation == releases[e] ->
     claim = FREE
  :: else
  fi;
  releases[e] = 0
}

/* No answer came: the end is unknown and the claim stays. */
inline noAnswer(e) {
#ifdef FREE_UNKNOWN
  releases[e] = incarnation[e] + 1;
#endif
#ifdef RETRY_UNKNOWN
  runRequest();
#endif
#ifdef WRONG_NOT_RUN
  tellNotRun(e);
#endif
  skip
}

/* A caller that is told `not_run` may count on it. */
inline tellNotRun(e) {
  assert(!ran[e])
}

active proctype fleet() {
  byte e;
end:
  do
  :: atomic {
       select(e : 0 .. ENTRIES - 1);
       if
       :: phase[e] == IDLE && tries < MAX_TRIES && asked[e] == 0 &&
          releases[e] == 0 -> begin(e)
       :: asked[e] != 0 -> recordClaim(e)
       /* The leader is gone: the proposal may be recorded yet, or is lost. */
       :: phase[e] == ASKED && releases[e] == 0 ->
          phase[e] = IDLE; releases[e] = incarnation[e] + 1; tellNotRun(e)
       :: asked[e] != 0 && phase[e] != ASKED -> asked[e] = 0
       /* A release is taken only after the claim before it is settled. */
       :: releases[e] != 0 && asked[e] == 0 -> recordRelease(e)
       /* Sent; the upstream may run it now or late, or never hears of it. */
       :: phase[e] == GRANTED -> phase[e] = SENT; ran[e] = true; runRequest()
       :: phase[e] == GRANTED && releases[e] == 0 ->
          /* no connection: surely not run, the claim is given back */
          phase[e] = IDLE; releases[e] = incarnation[e] + 1; tellNotRun(e)
       :: phase[e] == SENT ->
          phase[e] = IDLE;
          if
          :: claim = ENDED
          :: noAnswer(e)
          fi
       :: crashes < MAX_CRASHES ->
          crashes++; incarnation[e]++; phase[e] = IDLE
       :: else -> skip
       fi;
       assert(runs <= 1);
       e = 0
     }
  od
}
