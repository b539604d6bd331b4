/* The consensus protocol: leader election, log replication, commit, membership
 * change and loss of a disk.
 *
 * A message is modelled as one step between two replicas, which may happen at
 * any time or never. A replica may crash at any time and keeps what it synced.
 * The model has no time: the assertions must hold whatever the clocks do.
 *
 * Injected faults that the check must detect, each enabled with -D:
 *   LOSE_VOTE           a replica loses its vote in a crash
 *   COMMIT_OLD_TERM     an entry of an older term is committed by counting its
 *                       replicas
 *   ANSWER_BEFORE_SYNC  a follower acknowledges entries before they are synced
 *   ANY_LOG             a vote is granted even if the candidate's log is behind
 *   SAME_ID             a replica with a wiped disk rejoins under its old id and
 *                       votes
 *   TWO_AT_A_TIME       two voters are removed in one membership change
 *
 * A wiped replica is removed after its replacement has been added, or before it with
 * REMOVE_FIRST. With RETURNS, a voter is removed and added again under its id: it was
 * down meanwhile, and has lost neither its log nor its vote.
 */
#ifndef REPLICAS
#define REPLICAS 3
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 2
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 2
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define ALL 7
#define BIT(i) (1 << (i))

typedef Replica {
  byte term;
  byte voted;            /* id + 1 of the candidate; 0 for none */
  byte role;
  byte votes;            /* bit mask of the replicas that granted a vote */
  byte length;
  byte synced;           /* number of entries synced to disk */
  byte ownCommit;          /* number of entries it committed as leader of this term */
  byte entry[MAX_LOG];   /* term of each entry */
  byte members[MAX_LOG]; /* new voters as a bit mask; 0 for no change */
  byte match[REPLICAS];  /* leader: number of entries each replica acknowledged */
}

Replica r[REPLICAS];
byte leaderOf[MAX_TERM + 1];      /* id + 1 of the leader of each term; 0 for none */
byte committed[MAX_LOG];          /* term of each committed entry */
byte committedMembers[MAX_LOG];
byte committedLength;
byte crashes;
bool wiped;
byte gone;                         /* bit mask of ids that never rejoin */

inline votersOf(i, result) {
  result = ALL;
  k = 0;
  do
  :: k < r[i].length ->
     if
     :: r[i].members[k] != 0 -> result = r[i].members[k]
     :: else
     fi;
     k++
  :: else -> break
  od
}

/* Whether the bit mask `set` contains a majority of the voters of replica i. */
inline majority(i, set, result) {
  votersOf(i, voters);
  count = 0; size = 0; k = 0;
  do
  :: k < REPLICAS ->
     if
     :: (voters & BIT(k)) != 0 ->
        size++;
        if
        :: (set & BIT(k)) != 0 -> count++
        :: else
        fi
     :: else
     fi;
     k++
  :: else -> break
  od;
  result = (count * 2 > size)
}

#define LAST(i) ((r[i].length == 0) -> 0 : r[i].entry[r[i].length - 1])
#define UP_TO_DATE(i, j) ((LAST(i) > LAST(j)) || \
  (LAST(i) == LAST(j) && r[i].length >= r[j].length))
#ifdef ANY_LOG
#define LOG_FITS(i, j) true
#else
#define LOG_FITS(i, j) UP_TO_DATE(i, j)
#endif

#ifdef COMMIT_OLD_TERM
#define MAY_COMMIT(i, n) true
#else
#define MAY_COMMIT(i, n) (r[i].entry[n - 1] == r[i].term)
#endif

inline checkLeader(i) {
  assert(leaderOf[r[i].term] == 0 || leaderOf[r[i].term] == i + 1);
  leaderOf[r[i].term] = i + 1;
  /* The log of a leader contains all committed entries. */
  k = 0;
  do
  :: k < committedLength ->
     assert(k < r[i].length && r[i].entry[k] == committed[k] &&
       r[i].members[k] == committedMembers[k]);
     k++
  :: else -> break
  od
}

inline standForElection(i) {
  r[i].term++;
  r[i].voted = i + 1;
  r[i].role = CANDIDATE;
  r[i].votes = BIT(i);
  r[i].synced = r[i].length
}

inline becomeFollower(j, newTerm) {
  if
  :: newTerm > r[j].term ->
     r[j].term = newTerm;
     r[j].voted = 0
  :: else
  fi;
  r[j].role = FOLLOWER;
  r[j].votes = 0;
  r[j].ownCommit = 0;
  k = 0;
  do
  :: k < REPLICAS -> r[j].match[k] = 0; k++
  :: else -> break
  od
}

inline grantVote(i, j) {
  if
  :: r[i].term > r[j].term -> becomeFollower(j, r[i].term)
  :: else
  fi;
  if
  :: r[i].term == r[j].term && (r[j].voted == 0 || r[j].voted == i + 1) &&
     LOG_FITS(i, j) ->
     r[j].voted = i + 1;
     r[j].synced = r[j].length;
     r[i].votes = r[i].votes | BIT(j)
  :: else
  fi
}

inline takeLead(i) {
  majority(i, r[i].votes, won);
  if
  :: won ->
     r[i].role = LEADER;
     r[i].votes = 0;
     r[i].ownCommit = 0;
     k = 0;
     do
     :: k < REPLICAS -> r[i].match[k] = 0; k++
     :: else -> break
     od;
     checkLeader(i)
  :: else
  fi
}

inline append(i, members_) {
  r[i].entry[r[i].length] = r[i].term;
  r[i].members[r[i].length] = members_;
  r[i].length++
}

inline replicate(i, j) {
  becomeFollower(j, r[i].term);
  k = 0;
  do
  :: k < MAX_LOG ->
     r[j].entry[k] = r[i].entry[k];
     r[j].members[k] = r[i].members[k];
     k++
  :: else -> break
  od;
  r[j].length = r[i].length;
#ifdef ANSWER_BEFORE_SYNC
  if
  :: r[j].synced > r[j].length -> r[j].synced = r[j].length
  :: else
  fi;
#else
  r[j].synced = r[j].length;
#endif
  r[i].match[j] = r[j].length
}

/* Commits the first `index` entries if a majority has synced them. */
inline commit(i, index) {
  set = 0; m = 0;
  do
  :: m < REPLICAS ->
     if
     :: (m == i && r[i].synced >= index) || (m != i && r[i].match[m] >= index) ->
        set = set | BIT(m)
     :: else
     fi;
     m++
  :: else -> break
  od;
  majority(i, set, won);
  if
  :: won && index > r[i].ownCommit -> r[i].ownCommit = index
  :: else
  fi;
  if
  :: won && index > committedLength ->
     k = 0;
     do
     :: k < index ->
        assert(k >= committedLength || (committed[k] == r[i].entry[k] &&
          committedMembers[k] == r[i].members[k]));
        committed[k] = r[i].entry[k];
        committedMembers[k] = r[i].members[k];
        k++
     :: else -> break
     od;
     committedLength = index
  :: won && index <= committedLength ->
     k = 0;
     do
     :: k < index ->
        assert(committed[k] == r[i].entry[k]);
        k++
     :: else -> break
     od
  :: else
  fi
}

inline crash(i) {
  crashes++;
  r[i].role = FOLLOWER;
  r[i].votes = 0;
  r[i].ownCommit = 0;
#ifdef LOSE_VOTE
  r[i].voted = 0;
#endif
  r[i].length = r[i].synced;
  k = 0;
  do
  :: k < MAX_LOG ->
     if
     :: k >= r[i].length -> r[i].entry[k] = 0; r[i].members[k] = 0
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < REPLICAS -> r[i].match[k] = 0; k++
  :: else -> break
  od
}

inline wipe(i) {
  wiped = true;
  r[i].synced = 0;
  crash(i);
  r[i].term = 0;
  r[i].voted = 0;
#ifndef SAME_ID
  gone = gone | BIT(i)
#endif
}

/* Voters change one at a time, only after the leader has committed an entry of
 * its term and while no other change is uncommitted. */
inline changeable(i, result) {
  result = r[i].ownCommit > 0;
  k = 0;
  do
  :: k < r[i].length ->
     if
     :: r[i].members[k] != 0 && k >= r[i].ownCommit -> result = false
     :: else
     fi;
     k++
  :: else -> break
  od
}

#define LIVE(i) ((gone & BIT(i)) == 0)

active proctype fleet() {
  byte k, m, count, size, voters, set, next;
  bool won, free;
  byte i, j;
end:
  do
  :: atomic {
       select(i : 0 .. REPLICAS - 1);
       select(j : 0 .. REPLICAS - 1);
       if
       :: LIVE(i) && r[i].role != LEADER && r[i].term < MAX_TERM ->
          votersOf(i, voters);
          if
          :: (voters & BIT(i)) != 0 -> standForElection(i); takeLead(i)
          :: else
          fi
       :: LIVE(i) && LIVE(j) && i != j && r[i].role == CANDIDATE &&
          r[j].term <= r[i].term && (r[i].votes & BIT(j)) == 0 ->
          grantVote(i, j); takeLead(i)
       :: LIVE(i) && r[i].role == LEADER && r[i].length < MAX_LOG ->
          append(i, 0)
       :: LIVE(i) && r[i].role == LEADER && r[i].synced < r[i].length ->
          r[i].synced = r[i].length
       :: LIVE(i) && LIVE(j) && i != j && r[i].role == LEADER &&
          r[j].term <= r[i].term ->
          replicate(i, j)
       :: LIVE(i) && r[i].role == LEADER && r[i].length > 0 ->
          select(next : 1 .. MAX_LOG);
          if
          :: next <= r[i].length && MAY_COMMIT(i, next) -> commit(i, next)
          :: else
          fi
       :: LIVE(i) && crashes < MAX_CRASHES -> crash(i)
#ifdef WIPES
       :: i == 2 && !wiped && committedLength > 0 -> wipe(i)
#endif
#ifdef CHANGES
       :: LIVE(i) && r[i].role == LEADER && r[i].length < MAX_LOG ->
          changeable(i, free);
          votersOf(i, voters);
          if
          :: free ->
             if
#ifdef TWO_AT_A_TIME
             :: voters == ALL -> append(i, BIT(i))
#endif
#ifdef RETURNS
             :: i != 2 && voters == ALL -> append(i, voters & ~4)
             :: i != 2 && (voters & 4) == 0 -> append(i, voters | 4)
#endif
#ifdef REMOVE_FIRST
             :: wiped && voters == ALL -> append(i, voters & ~4)
#endif
             :: wiped && (voters & 8) == 0 && REPLICAS > 3 ->
                append(i, voters | 8)
             :: wiped && (voters & 12) == 12 -> append(i, voters & ~4)
             :: else
             fi
          :: else
          fi
#endif
       :: else -> skip
       fi;
       i = 0; j = 0; k = 0; m = 0; count = 0; size = 0; voters = 0; set = 0;
       next = 0; won = false; free = false
     }
  od
}
