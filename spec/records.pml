/* Model of the replication of a keyed topic with two keys. Two hosts copy it from the store, which
 * drops old records, and from each other, by messages that are delayed and may cross.
 * Properties: the position of a key never decreases; a host's copy contains every change before its
 * complete_to.
 * docs/MODELS.md maps each step to the function that does it.
 */

#define HOSTS 2
#define KEYS 2   /* key 0 is on the first page of a listing, key 1 on the second */
#define MAX_END 4 /* positions 1..3 */
/* Bounds of the model: host 0 lists twice; host 1 lists once and fetches twice. */
#define LISTINGS(h) (2 - (h))
#define FETCHES(h) (2 * (h))

/* The store: key changed at each position, and whether the change set or removed it. */
byte changed_key[MAX_END];
bool is_present[MAX_END];
byte end = 1;        /* position after the newest record */
byte first_kept = 1;

/* A host's copy. */
typedef copy {
  byte position[KEYS]; /* of the change that the copy holds; 0: none */
  bool present[KEYS];
  byte complete_to;    /* all changes before this position are contained; 0: nothing read yet */
  byte listed_to;      /* end of the last listing; removals before it may be missing */
  byte highest[KEYS];  /* highest position held so far; used by the checks only */
  byte fetch_from_position; /* start position of the pending fetch from the other host */
  bool is_fetching
};
copy host[HOSTS];

/* A response to a fetch, in flight. */
typedef answer {
  bool is_in_flight;
  bool is_listing;
  byte to;             /* the sender's complete_to */
  byte position[KEYS]; /* 0: not in the answer */
  bool present[KEYS]
};
answer reply[HOSTS];

/* Position of the newest change of a key before `before`; 0: none. */
inline find_newest(k, before, result)
{
  result = 0;
  i = 1;
  do
  :: i < before && i < end ->
     if
     :: changed_key[i] == k -> result = i
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* keyed_mirror::apply */
inline apply(h, k, at, there)
{
  if
#ifndef BROKEN_TAKES_OLDER_RECORDS
  :: at > host[h].position[k] -> host[h].position[k] = at; host[h].present[k] = there
#else
  :: at != host[h].position[k] -> host[h].position[k] = at; host[h].present[k] = there
#endif
  :: else
  fi
}

/* keyed_mirror::apply_listing, for a key that the listing does not contain */
inline apply_absence(h, k, until)
{
  if
#ifndef BROKEN_KEEPS_KEYS_MISSING_FROM_LISTING
  :: host[h].present[k] && host[h].position[k] < until ->
     host[h].position[k] = until - 1;
     host[h].present[k] = false
#endif
  :: else
  fi
}

inline advance(h, until)
{
  if
  :: until > host[h].complete_to -> host[h].complete_to = until
  :: else
  fi
}

/* A host holds for each key the newest change before complete_to or a later one. Otherwise it must hold
 * no value, and that change or a later one must have removed the key, as a listing showed. */
inline check(h)
{
  k = 0;
  do
  :: k < KEYS ->
     find_newest(k, host[h].complete_to, newest);
     is_removed = (newest == 0);
     i = newest;
     do
     :: i < end -> is_removed = is_removed || (i > 0 && changed_key[i] == k && !is_present[i]); i++
     :: else -> break
     od;
     assert(host[h].position[k] >= host[h].highest[k]); /* never decreases */
     host[h].highest[k] = host[h].position[k];
     assert(newest <= host[h].position[k] || (is_removed && !host[h].present[k]));
     k++
  :: else -> break
  od;
  /* Reset the temporaries, since leftover values would only multiply the states. */
  i = 0; k = 0; newest = 0; is_removed = false
}

active proctype store()
{
  byte k;
  do
  :: atomic { end < MAX_END ->
       if
       :: k = 0
       :: k = 1
       fi;
       changed_key[end] = k;
       if
       :: is_present[end] = true
       :: is_present[end] = false
       fi;
       end++
     }
  :: atomic { first_kept < end -> first_kept = end }
  :: end == MAX_END -> break
  od
}

proctype router(byte h)
{
  byte i;
  byte k;
  byte newest;
  byte page_position[KEYS];
  byte listed_end;
  byte listings = 0;
  byte fetches = 0;
  byte oldest;
  bool is_first_kept_known;
  bool is_removed;

end_router: /* valid end state: it may wait forever for a response that does not arrive */
  do
  /* topic_follower::read_next: continues reading when no record since complete_to has been dropped. */
  :: d_step { host[h].complete_to > 0 && host[h].complete_to < end &&
#ifndef BROKEN_READS_OVER_A_GAP
       host[h].complete_to >= first_kept ->
#else
       true ->
#endif
       i = (host[h].complete_to > first_kept -> host[h].complete_to : first_kept);
       do
       :: i < end ->
          apply(h, changed_key[i], i, is_present[i]);
          i++
       :: else -> break
       od;
       advance(h, end);
       check(h)
     }
  /* topic_listing: two pages, with changes in between; then topic_follower::on_listing. The store
   * reports its first kept position only to a read from a position that it has dropped. */
  :: d_step { listings < LISTINGS(h) ->
       listings++;
       is_first_kept_known = (host[h].complete_to > 0 && host[h].complete_to < first_kept);
       oldest = (is_first_kept_known -> first_kept : 0);
       find_newest(0, end, newest);
       page_position[0] = (newest > 0 && is_present[newest] -> newest : 0);
       listed_end = (page_position[0] > 0 -> page_position[0] + 1 : 0);
       i = 0; newest = 0; is_first_kept_known = false
     };
     d_step {
       find_newest(1, end, newest); /* the second page */
       page_position[1] = (newest > 0 && is_present[newest] -> newest : 0);
#ifdef BROKEN_END_FROM_ALL_PAGES
       listed_end = (page_position[1] + 1 > listed_end && page_position[1] > 0 -> page_position[1] + 1 : listed_end);
#endif
       listed_end = (oldest > listed_end -> oldest : listed_end);
       k = 0;
       do
       :: k < KEYS ->
          if
          :: page_position[k] > 0 -> apply(h, k, page_position[k], true)
          :: else -> apply_absence(h, k, listed_end)
          fi;
          k++
       :: else -> break
       od;
       host[h].listed_to = (listed_end > host[h].listed_to -> listed_end : host[h].listed_to);
       listed_end = (listed_end == 0 -> 1 : listed_end); /* the copy of an empty topic is complete up to its start */
       advance(h, listed_end);
       page_position[0] = 0; page_position[1] = 0; listed_end = 0; oldest = 0; is_first_kept_known = false;
       check(h)
     }
  /* peer_link::fetch_from: sends the request. */
  :: d_step { !host[h].is_fetching && !reply[h].is_in_flight && fetches < FETCHES(h) ->
       fetches++;
       host[h].is_fetching = true;
       host[h].fetch_from_position = host[h].complete_to
     }
  /* peer_link::serve_records and keyed_mirror::changes_since on the other host, at any later time. */
  :: d_step { host[1 - h].is_fetching && host[h].complete_to > 0 && !reply[1 - h].is_in_flight ->
       host[1 - h].is_fetching = false;
       reply[1 - h].is_in_flight = true;
       reply[1 - h].to = host[h].complete_to;
#ifndef BROKEN_SENDS_CHANGES_FROM_BEFORE_ITS_LISTING
       reply[1 - h].is_listing = (host[1 - h].fetch_from_position < host[h].listed_to);
#else
       reply[1 - h].is_listing = false;
#endif
       k = 0;
       do
       :: k < KEYS ->
          if
          :: reply[1 - h].is_listing ->
             reply[1 - h].position[k] = (host[h].present[k] -> host[h].position[k] : 0)
          :: else ->
             reply[1 - h].position[k] = (host[h].position[k] >= host[1 - h].fetch_from_position -> host[h].position[k] : 0)
          fi;
          reply[1 - h].present[k] = host[h].present[k];
          k++
       :: else -> break
       od;
       host[1 - h].fetch_from_position = 0;
       k = 0
     }
  /* fleet_state::on_changes: receives the response at any later time. */
  :: d_step { reply[h].is_in_flight ->
       reply[h].is_in_flight = false;
       if
       :: reply[h].to > host[h].complete_to ->
          k = 0;
          do
          :: k < KEYS ->
             if
             :: reply[h].position[k] > 0 -> apply(h, k, reply[h].position[k], reply[h].present[k])
             :: reply[h].position[k] == 0 && reply[h].is_listing -> apply_absence(h, k, reply[h].to)
             :: else
             fi;
             k++
          :: else -> break
          od;
          if
          :: reply[h].is_listing && reply[h].to > host[h].listed_to -> host[h].listed_to = reply[h].to
          :: else
          fi;
          advance(h, reply[h].to);
          check(h)
       :: else
       fi;
       reply[h].to = 0; reply[h].is_listing = false;
       reply[h].position[0] = 0; reply[h].present[0] = false;
       reply[h].position[1] = 0; reply[h].present[1] = false
     }
  :: listings == LISTINGS(h) && fetches == FETCHES(h) && !host[1 - h].is_fetching && !reply[h].is_in_flight -> break
  od
}

init
{
  atomic {
    run router(0);
    run router(1)
  }
}
