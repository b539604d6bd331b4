/* At-most-once execution of requests that must not run twice.
 *
 * A caller retries a request, so that two entries receive it. Each entry
 * requests a claim from the quorum before it forwards the request to the
 * upstream. The leader's proposal is committed at any later time or never. The
 * leader may change in between: the entry then receives `unavailable` although
 * the claim is committed later. An entry may crash at any time; a new process
 * then serves the caller's next attempt. The model also checks that a request
 * with the outcome `not_run` did not run.
 *
 * Injected faults that the check must detect, each enabled with -D:
 *   SEND_FIRST      the request is sent before the claim is granted
 *   REGRANT_DEAD    a claim is granted again after its holder crashed
 *   RETRY_UNKNOWN   an entry sends the request again after it got no response
 *   FREE_UNKNOWN    an entry releases a claim although the request may have run
 *   WRONG_NOT_RUN   a timeout after sending is reported as `not_run`
 *   ONE_HOLDER      all attempts of an entry share one holder id, so that the
 *                   release of one attempt frees the claim of another
 */
#define ENTRIES 2
#define MAX_TRIES 3
#define MAX_CRASHES 2

#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define SENT 3

/* States of the claim in the log. */
#define FREE 0
#define RUNNING 1
#define ENDED 2

byte phase[ENTRIES];
byte asked[ENTRIES];        /* pending proposal: incarnation + 1; 0 for none */
byte releases[ENTRIES];     /* pending release: incarnation + 1; 0 for none */
byte incarnation[ENTRIES];  /* identifies an attempt; with ONE_HOLDER, the process */
byte holder;                /* entry + 1 of the last claim's holder */
byte holderIncarnation;
byte claim;
byte runs;                  /* number of times the upstream ran the request */
byte tries;
byte crashes;
bool ran[ENTRIES];          /* the entry's current attempt reached the upstream */

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
     /* Running, ended or unknown: this attempt does not run the request. */
     if
     :: phase[e] == ASKED && asked[e] == incarnation[e] + 1 -> phase[e] = IDLE
     :: else
     fi
  fi;
  asked[e] = 0
}

/* A release follows the claim that it frees in the log. */
inline recordRelease(e) {
  if
  :: claim == RUNNING && holder == e + 1 && holderIncarnation == releases[e] ->
     claim = FREE
  :: else
  fi;
  releases[e] = 0
}

/* Without a response the outcome is unknown, and the claim is kept. */
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

/* Reports `not_run`, which guarantees the caller that the request did not run. */
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
       /* The leader failed: its proposal is lost, or may still be committed. */
       :: phase[e] == ASKED && releases[e] == 0 ->
          phase[e] = IDLE; releases[e] = incarnation[e] + 1; tellNotRun(e)
       :: asked[e] != 0 && phase[e] != ASKED -> asked[e] = 0
       /* A release waits until the claim before it is committed or lost. */
       :: releases[e] != 0 && asked[e] == 0 -> recordRelease(e)
       /* Sent: the upstream may run it at once or later, or never receive it. */
       :: phase[e] == GRANTED -> phase[e] = SENT; ran[e] = true; runRequest()
       :: phase[e] == GRANTED && releases[e] == 0 ->
          /* Connection failed: it certainly did not run; releases the claim. */
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
