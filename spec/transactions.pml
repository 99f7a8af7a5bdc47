/* Model of the transaction protocol with one key. Callers send the same request to two hosts, which
 * claim the key on the log. Append answers are lost, hosts crash between the steps and the log has an
 * outage. The end of the dedupe window is not modeled.
 * Properties: a key runs at most once; a request reported as not run never runs.
 * docs/MODELS.md maps each step to the function that does it.
 */

#define HOSTS 2
#define MAX_LOG 9 /* two turns of two hosts with a claim and a void record each */
#define NONE 255

mtype = { claim, voided, done };

/* Records of the log in order. `owner` is host * 4 + incarnation. */
mtype log_type[MAX_LOG];
byte log_owner[MAX_LOG];
byte log_ref[MAX_LOG];
byte log_length = 0;
bool log_up = true;
byte outages = 1;

/* Number of executions at the service. */
byte executions = 0;
/* True when a caller received a not-run refusal from this incarnation. */
byte reported_not_run[HOSTS * 4];
byte ran[HOSTS * 4];

byte crashes = 2;

/* Finds the winner: the first claim that no void record has removed. */
inline find_winner(length, winner)
{
  byte i;
  winner = NONE;
  d_step {
    i = 0;
    do
    :: i < length && log_type[i] == claim && winner == NONE -> winner = i; i++
    :: i < length && log_type[i] == voided && winner != NONE && log_ref[i] == winner -> winner = NONE; i++
    :: i < length && !((log_type[i] == claim && winner == NONE) ||
                     (log_type[i] == voided && winner != NONE && log_ref[i] == winner)) -> i++
    :: i >= length -> break
    od;
    i = 0
  }
}

inline append(kind, who, ref)
{
  log_type[log_length] = kind;
  log_owner[log_length] = who;
  log_ref[log_length] = ref;
  log_length++
}

/* One host. In each turn it receives the request for the key. */
proctype host(byte self)
{
  byte me;
  byte incarnation = 0;
  byte winner;
  byte read;
  byte turns = 0;
  bool abandoned;

start:
  me = self * 4 + incarnation;
  abandoned = false;
  do
  :: turns >= 2 -> break
  :: turns < 2 ->
     turns++;
     abandoned = false;
     /* begin_claim: a key that is already claimed is not claimed again. */
     read = log_length;
     find_winner(read, winner);
     if
     :: winner != NONE -> skip /* reply_for_claimed_key: replays, forwards or refuses; never runs */
     :: winner == NONE ->
        /* The append succeeds, fails without any effect, or its answer is lost. */
        if
        :: atomic { log_up -> append(claim, me, NONE) }
           if
           :: skip               /* the answer arrived */
           :: abandoned = true   /* the answer was lost and the claim not read back in time: never run it */
           fi
        :: !log_up -> reported_not_run[me] = 1; goto again /* certain that nothing reached the log */
        fi;
        if
        :: crashes > 0 -> crashes--; goto crash
        :: skip
        fi;
        if
        :: abandoned -> reported_not_run[me] = 1
        :: else -> skip
        fi;
        /* on_record: the claim is read back; only the first claim in log order may run. */
        (log_up);
#ifndef BROKEN_NO_READ_BACK
        read = log_length;
        find_winner(read, winner);
        if
        :: winner != NONE && log_owner[winner] == me -> skip
        :: else -> goto again
        fi;
#endif
#ifndef BROKEN_RUNS_ABANDONED
        if
        :: abandoned ->
           atomic { log_up -> append(voided, me, winner) };
           goto again
        :: else -> skip
        fi;
#endif
        if
        :: crashes > 0 -> crashes--; goto crash
        :: skip
        fi;
        /* run_once: the request is sent. */
        atomic {
          executions++;
          ran[me] = 1;
          assert(executions <= 1);
          assert(reported_not_run[me] == 0 || abandoned == false)
        };
        if
        :: crashes > 0 -> crashes--; goto crash
        :: skip
        fi;
#ifndef BROKEN_VOIDS_AFTER_SENDING
        skip; /* the outcome is done or unknown; the claim remains */
#else
        atomic { log_up -> append(voided, me, winner) };
#endif
     fi;
again:
     skip
  od;
  goto finish;

crash:
  /* The process loses its memory. A new incarnation starts and knows only the log. */
  incarnation++;
  goto start;

finish:
  skip
}

/* The log becomes unavailable once and recovers. */
proctype outage()
{
  do
  :: outages > 0 -> atomic { outages--; log_up = false }; log_up = true
  :: outages == 0 -> break
  od
}

init
{
  atomic {
    run host(0);
    run host(1);
    run outage()
  }
}
