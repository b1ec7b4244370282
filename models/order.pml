/* Lease and order: an engine never goes back to an older order.
 *
 * Two holders follow each other on one lease; each may be paused between its
 * check and the order's arrival.  A checking engine compares the fence.  For
 * one that does not check, an order has a deadline within its lease, after
 * which it cannot arrive, and a new holder waits out the old lease and the
 * longest order first.
 *
 * Seeded bugs: -DBUG_NO_FENCE lets the checking engine take any fence;
 * -DBUG_NO_WAIT lets the new holder send at once.
 */
#define LEASE 3
#define ORDER 1
#define END 9

byte now = 0;
byte holder = 0;
byte expires = 0;
byte fences = 0;
byte free_from = 0;            /* when the last lease has surely ended */

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
                /* The old lease is over in the store; its holder's last order
                   may be under way until its deadline. */
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
        /* The check on the own clock, right before the order leaves. */
        if
        :: atomic { now + ORDER <= until -> deadline = now + ORDER }
        :: now + ORDER > until -> goto again
        fi;
        /* Any pause here: the order arrives at some time, or never. */
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
