/* At most once: three attempts with one idempotency key, two homes, homes that die and lose what they had, and a
 * handover from the home that is left to a new one.
 *
 * Property: at most one attempt is dispatched.
 *
 * Broken on purpose: -DASYNC_COPY (the second home is told after the dispatch), -DNO_HANDOVER (a new home starts
 * empty and counts at once), -DNO_VIEW (homes take claims that were sent under an earlier member list), -DONE_GRANT (the grant of one home is enough when the other one does not answer).
 */
#define ATTEMPTS 3
#define NOBODY 0
#ifdef NO_VIEW
#define OTHER_VIEW false
#else
#define OTHER_VIEW (mine != view)
#endif

/* Who owns the record at each home; a home that is down answers nothing; `fresh` has not been handed the records. */
byte owner[2];
bool down[2];
bool fresh[2];
/* Number of the member list; claims carry the one they were sent under. */
byte view;
byte deaths;
byte dispatched;

inline claim(home, me, granted, refused) {
    granted = false;
    refused = false;
    if
    :: down[home] || fresh[home] || OTHER_VIEW
    :: else ->
        if
        :: owner[home] == NOBODY -> owner[home] = me; granted = true
        :: owner[home] == me -> granted = true
        :: else -> refused = true
        fi
    fi
}

proctype attempt(byte me) {
    bool first, second, refused;
    byte mine;
    mine = view;
    atomic { claim(0, me, first, refused) };
    if
    :: refused -> goto done
#ifdef ONE_GRANT
    :: else
#else
    :: !refused && !first -> goto done
    :: !refused && first
#endif
    fi;
#ifdef ASYNC_COPY
    dispatched++;
    atomic { claim(1, me, second, refused) };
    goto done;
#endif
    atomic { claim(1, me, second, refused) };
    if
#ifdef ONE_GRANT
    :: !refused && (first || second) -> dispatched++
#else
    :: first && second -> dispatched++
#endif
    :: else ->
        /* Certainly not run: the claim is released. */
        atomic { if :: owner[0] == me && !down[0] -> owner[0] = NOBODY :: else fi }
    fi;
done:
    skip
}

/* One home at a time dies; the other hands its record over before another death counts. */
active proctype platform() {
    byte home;
    do
    :: deaths < 2 ->
        atomic {
            if :: home = 0 :: home = 1 fi;
            deaths++;
            down[home] = true;
            owner[home] = NOBODY
        };
        atomic {
            down[home] = false;
#ifndef NO_HANDOVER
            fresh[home] = true
#endif
        };
        atomic {
            if
            :: fresh[home] ->
                if :: owner[home] == NOBODY -> owner[home] = owner[1 - home] :: else fi;
                fresh[home] = false;
                view++
            :: else
            fi;
            home = 0
        }
    :: break
    od
}

active proctype monitor() {
    assert(dispatched <= 1)
}

init {
    atomic { run attempt(1); run attempt(2); run attempt(3) }
}

never {
    do
    :: dispatched > 1 -> break
    :: else
    od
}
