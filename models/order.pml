/* Lease and order: an engine never applies an older order after a newer one.
 *
 * Two holders acquire the same lease in turn; each may be suspended between its check of
 * the lease and the arrival of its order.  One engine checks the fencing token.  For an
 * engine without that check, an order has a deadline within its lease, after which it
 * cannot arrive, and a new holder first waits for the end of the old lease plus the
 * longest duration of an order.
 *
 * Seeded bugs: -DBUG_NO_FENCE lets the checking engine accept any fencing token;
 * -DBUG_NO_WAIT lets the new holder send orders at once.
 */
#define LEASE 3
#define ORDER 1
#define END 9

byte now = 0;
byte holder = 0;
byte expires = 0;
byte fences = 0;
byte free_from = 0;            /* time by which the last lease and its orders have ended */

byte checked_fence = 0;
byte plain_fence = 0;

proctype Holder(byte me) {
    byte fence = 0;
    byte until = 0;
    byte may_send = 0;
    byte deadline = 0;
    byte rounds = 0;
    do
    :: rounds == 2 || now >= END -> break
    :: else ->
        rounds++;
        if
        :: atomic {
            now >= expires ->
                fences++;
                fence = fences;
                holder = me;
                /* The old lease has expired in the store, but its holder's
                   last order may arrive until its deadline. */
                may_send = free_from;
                expires = now + LEASE;
                until = now + LEASE;
                free_from = until + ORDER
           }
        :: now < expires -> goto again
        fi;
#ifndef BUG_NO_WAIT
        if
        :: now >= may_send
        :: now >= END -> break
        fi;
#endif
        /* Checks the lease on the local clock, just before the order is sent. */
        if
        :: atomic { now + ORDER <= until -> deadline = now + ORDER }
        :: now + ORDER > until -> goto again
        fi;
        /* The order may be delayed arbitrarily here, or be lost. */
        if
        :: atomic {
            now <= deadline ->
                assert(fence >= plain_fence);
                plain_fence = fence
           }
        :: skip
        fi;
        if
        :: atomic {
#ifdef BUG_NO_FENCE
            true ->
#else
            fence >= checked_fence ->
#endif
                assert(fence >= checked_fence);
                checked_fence = fence
           }
        :: skip
        fi;
again:  skip
    od
}

proctype Clock() {
    do
    :: now < END -> now++
    :: now >= END -> break
    od
}

init {
    atomic {
        run Clock();
        run Holder(1);
        run Holder(2)
    }
}
