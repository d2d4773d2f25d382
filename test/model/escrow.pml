/* Loans of a budget: three VMs with one unit each. Asking, answering, loss, doubling and lateness in any order; a
 * frozen VM is one that takes its next step late.
 *
 * Property: the units in force never exceed the contract.
 *
 * Broken on purpose: -DNO_DEBIT (the lender keeps its unit), -DCOUNT_FROM_ANSWER (the borrower counts the loan's time
 * from the answer), -DNO_EXPIRY (the borrower keeps the unit), -DADD_TWICE (a doubled answer adds another unit).
 */
#define VMS 3
#define LOAN 2
#define END 5

/* lent[l*VMS+b] is the time until which l goes without the unit that b borrowed; borrowed[] likewise at b. */
byte lent[9];
byte borrowed[9];
byte extra[9];
/* One answer under way for each pair: when it was asked for, plus one; 0 for none. */
byte answer[9];
byte now;
byte i, j, sum;

inline check() {
    d_step {
        sum = 0;
        i = 0;
        do
        :: i < VMS ->
            sum++;
            j = 0;
            do
            :: j < VMS ->
                if :: lent[i * VMS + j] > now -> sum-- :: else fi;
                if :: borrowed[j * VMS + i] > now -> sum = sum + 1 + extra[j * VMS + i] :: else fi;
                j++
            :: else -> break
            od;
            i++
        :: else -> break
        od;
        i = 0;
        j = 0;
        assert(sum <= VMS);
        sum = 0
    }
}

/* The lender answers at once or late; the time counts from the asking, which is now at the earliest. */
inline lend(l, b, asked) {
    if
    :: lent[l * VMS + b] <= now && lent[l * VMS + (3 - l - b)] <= now && answer[l * VMS + b] == 0 ->
        answer[l * VMS + b] = asked + 1;
#ifndef NO_DEBIT
        lent[l * VMS + b] = now + LOAN;
#endif
    :: else
    fi
}

inline take(l, b, keep) {
    if
    :: answer[l * VMS + b] > 0 ->
#ifdef ADD_TWICE
        if :: borrowed[l * VMS + b] > now -> extra[l * VMS + b] = 1 :: else fi;
#endif
#ifdef COUNT_FROM_ANSWER
        borrowed[l * VMS + b] = now + LOAN;
#else
#ifdef NO_EXPIRY
        borrowed[l * VMS + b] = END + 1;
#else
        borrowed[l * VMS + b] = (answer[l * VMS + b] - 1 + LOAN > now -> answer[l * VMS + b] - 1 + LOAN : 0);
#endif
#endif
        if :: keep == 0 -> answer[l * VMS + b] = 0 :: else fi
    :: else
    fi
}

init {
    byte l, b;
    do
    :: now < END ->
        d_step {
            now++;
            /* What is over is forgotten, so that states that differ in nothing else are one. */
            i = 0;
            do
            :: i < 9 ->
                if :: lent[i] <= now -> lent[i] = 0 :: else fi;
                if :: borrowed[i] <= now -> borrowed[i] = 0; extra[i] = 0 :: else fi;
                i++
            :: else -> break
            od;
            i = 0
        };
        check()
    :: atomic {
        if :: l = 0 :: l = 1 :: l = 2 fi;
        if :: b = (l + 1) % 3 :: b = (l + 2) % 3 fi;
        if
        :: true -> lend(l, b, now)
        :: now > 0 -> lend(l, b, now - 1)
        :: true -> take(l, b, 0)
        :: true -> take(l, b, 1)
        :: true -> answer[l * VMS + b] = 0
        fi;
        l = 0;
        b = 0;
        check()
    }
    :: now == END -> break
    od
}
