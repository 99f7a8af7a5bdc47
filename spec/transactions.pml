/* The transaction protocol: callers that repeat a request at two hosts, claims on the log, lost
 * append answers, crashes at every step, log outages, the end of the dedupe window.
 * Promises: a key runs at most once; "not run" is said only where it is true for good.
 * docs/MODELS.md maps each step to the function that does it.
 */

#define HOSTS 2
#define MAX_LOG 9 /* two turns of two hosts: a claim and a voiding each */
#define NONE 255

mtype = { claim, voided, done };

/* The log: records in order. `owner` is host * 4 + incarnation. */
mtype log_type[MAX_LOG];
byte log_owner[MAX_LOG];
byte log_ref[MAX_LOG];
byte log_length = 0;
bool log_up = true;
byte outages = 1;

/* What has happened at the service. */
byte executions = 0;
/* True when somebody was told "not run" of a claim that may still run. */
byte said_not_run[HOSTS * 4];
byte ran[HOSTS * 4];

byte crashes = 2;

/* Folds the log: the winner is the first claim that no voiding has removed. */
inline find_winner(upto, winner)
{
  byte i;
  winner = NONE;
  d_step {
    i = 0;
    do
    :: i < upto && log_type[i] == claim && winner == NONE -> winner = i; i++
    :: i < upto && log_type[i] == voided && winner != NONE && log_ref[i] == winner -> winner = NONE; i++
    :: i < upto && !((log_type[i] == claim && winner == NONE) ||
                     (log_type[i] == voided && winner != NONE && log_ref[i] == winner)) -> i++
    :: i >= upto -> break
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

/* One host. Each turn it takes the (repeated) request of the one key. */
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
     /* begin_claim: a key that is claimed already is not claimed again. */
     read = log_length;
     find_winner(read, winner);
     if
     :: winner != NONE -> skip /* resolve: replay, forward, or unknown; never run */
     :: winner == NONE ->
        /* append: it may succeed, be refused before any effect, or lose its answer. */
        if
        :: atomic { log_up -> append(claim, me, NONE) }
           if
           :: skip               /* the answer came */
           :: abandoned = true   /* it was lost and not read back in time: given up for good */
           fi
        :: !log_up -> said_not_run[me] = 1; goto again /* proved: nothing reached the log */
        fi;
        if
        :: crashes > 0 -> crashes--; goto crash
        :: skip
        fi;
        if
        :: abandoned -> said_not_run[me] = 1
        :: else -> skip
        fi;
        /* on_record: read back; only the first claim in log order may run. */
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
          assert(said_not_run[me] == 0 || abandoned == false)
        };
        if
        :: crashes > 0 -> crashes--; goto crash
        :: skip
        fi;
#ifndef BROKEN_VOIDS_AFTER_SENDING
        skip; /* the outcome: done, or unknown; the claim stands */
#else
        atomic { log_up -> append(voided, me, winner) };
#endif
     fi;
again:
     skip
  od;
  goto finish;

crash:
  /* The process is gone with all its memory; a new incarnation starts and knows the log only. */
  incarnation++;
  goto start;

finish:
  skip
}

/* The log goes down and comes back. */
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
