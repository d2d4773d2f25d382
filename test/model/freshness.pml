/* Freshness and acceptance: three named members and one VM beyond them, a store, two changes, the first of which also
 * changes the member list. In each tick every VM and the store is on one of two sides; VMs on the store's side have a
 * proof, VMs on the same side hear each other. VMs restart. Ages are in ticks; a proof lives F ticks.
 *
 * Property: more than F ticks after a change was accepted, no licensed VM holds less.
 *
 * Broken on purpose: -DKEEP_VOTE (a restarted VM keeps its vote), -DONE_ACK (one ack accepts),
 * -DONE_VOICE (one other voice licenses), -DNEW_LIST_ONLY (the new list alone accepts).
 */
#define VMS 4
#define F 1
#define OLD 2
#ifndef RESTARTS
#define RESTARTS 1
#endif

byte gen[VMS];
bool synced[VMS];
bool voter[VMS];
byte proof[VMS];
byte heard[16];
byte head;
byte accepted[3];
byte restarts;

/* The tick's sides, and the states of before the exchange. */
hidden byte side[VMS];
hidden byte store_side;
byte gen_before[VMS];
bool synced_before[VMS];
byte proof_before[VMS];
byte i, j, votes_new, votes_old, best;

/* Member lists: {0,1,2} at first, {1,2,3} from generation 1 on. */
#define IN_OLD(v) (v < 3)
#define IN_NEW(v) (v > 0)
#define AGE(a) ((a) < OLD -> (a) + 1 : OLD)

inline count_votes(vm) {
    votes_new = 0;
    votes_old = 0;
    j = 0;
    do
    :: j < VMS ->
        if
        :: heard[vm * VMS + j] <= F && voter[j] ->
            if :: IN_OLD(j) -> votes_old++ :: else fi;
            if :: IN_NEW(j) -> votes_new++ :: else fi
        :: else
        fi;
        j++
    :: else -> break
    od
}

#ifdef ONE_VOICE
#define ENOUGH(votes) ((votes) >= 1)
#else
#define ENOUGH(votes) ((votes) >= 2)
#endif

/* At generation 0 the old list rules; later both do until the change of the list is accepted, then the new one. */
#define MAJORITY(vm) ((gen[vm] == 0 && ENOUGH(votes_old)) || \
                      (gen[vm] > 0 && ENOUGH(votes_new) && (accepted[1] > 0 || ENOUGH(votes_old))))

inline restart(vm) {
    gen[vm] = 0;
    synced[vm] = false;
    proof[vm] = OLD;
    j = 0;
    do :: j < VMS -> heard[vm * VMS + j] = OLD; j++ :: else -> break od;
#ifdef KEEP_VOTE
    skip;
#else
    voter[vm] = false;
#endif
    restarts++
}

inline exchange(vm) {
    proof[vm] = AGE(proof_before[vm]);
    best = gen_before[vm];
    if
    :: side[vm] == store_side ->
        proof[vm] = 0;
        synced[vm] = true;
        if :: head > best -> best = head :: else fi
    :: else
    fi;
    j = 0;
    do
    :: j < VMS ->
        heard[vm * VMS + j] = AGE(heard[vm * VMS + j]);
        if
        :: j != vm && side[j] == side[vm] && synced_before[j] ->
            if :: gen_before[j] > best -> best = gen_before[j] :: else fi;
            if :: proof_before[j] + 1 <= proof[vm] && proof_before[j] < OLD -> proof[vm] = proof_before[j] + 1; synced[vm] = true :: else fi;
            heard[vm * VMS + j] = 0;
#ifdef KEEP_VOTE
            synced[vm] = true
#endif
        :: else
        fi;
        j++
    :: else -> break
    od;
    if :: synced_before[vm] -> heard[vm * VMS + vm] = 0 :: else fi;
    gen[vm] = best;
    count_votes(vm);
    if :: MAJORITY(vm) -> synced[vm] = true :: else fi
}

inline count_acks(change) {
    votes_new = 0;
    votes_old = 0;
    j = 0;
    do
    :: j < VMS ->
        if
        :: gen[j] >= change && voter[j] && synced[j] ->
            if :: IN_OLD(j) -> votes_old++ :: else fi;
            if :: IN_NEW(j) -> votes_new++ :: else fi
        :: else
        fi;
        j++
    :: else -> break
    od
}

#ifdef ONE_ACK
#define ACKED (votes_new >= 1 && votes_old >= 1)
#else
#ifdef NEW_LIST_ONLY
#define ACKED (votes_new >= 2)
#else
#define ACKED (votes_new >= 2 && votes_old >= 2)
#endif
#endif

inline settle(change) {
    if
    :: accepted[change] > 0 && accepted[change] < 3 -> accepted[change]++
    :: accepted[change] == 0 && head >= change ->
        count_acks(change);
        if :: ACKED -> accepted[change] = 1 :: else fi
    :: else
    fi
}

inline check(vm) {
    count_votes(vm);
    if
    :: synced[vm] && (proof[vm] <= F || MAJORITY(vm)) ->
        assert(accepted[1] < 3 || gen[vm] >= 1);
        assert(accepted[2] < 3 || gen[vm] >= 2)
    :: else
    fi
}

init {
    d_step {
        i = 0;
        do
        :: i < VMS ->
            synced[i] = true;
            voter[i] = true;
            proof[i] = OLD;
            j = 0;
            do :: j < VMS -> heard[i * VMS + j] = OLD; j++ :: else -> break od;
            i++
        :: else -> break
        od
    }
    do
    :: atomic {
        /* An operator writes; the next change waits for the acceptance of the list's change. */
        if
        :: head == 0 -> head = 1
        :: head == 1 && accepted[1] > 0 -> head = 2
        :: true
        fi;
        if
        :: restarts < RESTARTS -> restart(0)
        :: restarts < RESTARTS -> restart(1)
        :: restarts < RESTARTS -> restart(3)
        :: true
        fi;
        store_side = 0;
        if :: side[0] = 0 :: side[0] = 1 fi;
        if :: side[1] = 0 :: side[1] = 1 fi;
        if :: side[2] = 0 :: side[2] = 1 fi;
        if :: side[3] = 0 :: side[3] = 1 fi;
        if :: store_side = 0 :: store_side = 2 fi;
        d_step {
            i = 0;
            do :: i < VMS -> gen_before[i] = gen[i]; synced_before[i] = synced[i]; proof_before[i] = proof[i]; i++ :: else -> break od;
            exchange(0); exchange(1); exchange(2); exchange(3);
            settle(1); settle(2);
            check(0); check(1); check(2); check(3);
            i = 0;
            do :: i < VMS -> gen_before[i] = 0; synced_before[i] = false; proof_before[i] = 0; i++ :: else -> break od;
            i = 0; j = 0; votes_new = 0; votes_old = 0; best = 0
        }
    }
    od
}
