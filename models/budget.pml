/* Retry budget of a fleet: all nodes together never send more than RESERVE retries in
 * any WINDOW ticks, without coordination by messages.
 *
 * Node 0 runs from the start; node 1 may join at any time, and node 0 learns of it within
 * one tick.  Either node may crash and restart, which loses its record of its own
 * retries.  A node restarts at most once in a window, and not within two windows of a
 * join.  The reserve has two parts: an old process has a quota of GROWN_PART, a process
 * younger than YOUNG ticks one of YOUNG_PART.  The quota is divided by the number of
 * known nodes.
 *
 * Node 0 may lend a retry to node 1: it counts the retry as its own before it responds,
 * and node 1 sends it within the same tick or not at all.  A retry that is borrowed in
 * fractions from several nodes is counted in fractions, so the model lends whole retries.
 *
 * Seeded bugs: -DBUG_NEVER_YOUNG gives a new process its whole quota at once;
 * -DBUG_NO_SHARE does not divide the quota by the number of nodes; -DBUG_LEND_UNCOUNTED
 * lends without counting; -DBUG_START_OFTEN allows restarts at any time, which shows that
 * the bound depends on their limit.
 */
#define WINDOW 3
#define YOUNG (WINDOW + 1)
#define GROWN_PART 4
#define YOUNG_PART 2
#define RESERVE (GROWN_PART + YOUNG_PART)

byte used[WINDOW];         /* retries of all nodes in each of the last ticks */
byte own0[WINDOW];         /* retries that node 0 counted as its own */
byte own1[WINDOW];
byte lived0 = YOUNG;       /* ticks since node 0 started, at most YOUNG */
byte lived1 = YOUNG;
byte member_for = 2 * WINDOW;  /* ticks since node 1 joined, at most two windows */
bool joined = false;       /* node 1 is a member */
bool known = false;        /* node 0 knows that node 1 is a member */
bool lent = false;         /* a retry that node 0 counted is in transit to node 1 */

#define SUM(a) (a[0] + a[1] + a[2])
#ifdef BUG_NEVER_YOUNG
#define PART(lived) GROWN_PART
#else
#define PART(lived) (lived < YOUNG -> YOUNG_PART : GROWN_PART)
#endif
#ifdef BUG_NO_SHARE
#define SHARE0 PART(lived0)
#define SHARE1 PART(lived1)
#else
#define SHARE0 (PART(lived0) / (known -> 2 : 1))
#define SHARE1 (PART(lived1) / 2)
#endif
#ifdef BUG_START_OFTEN
#define MAY_START(lived) (lived <= YOUNG)
#else
#define MAY_START(lived) (lived >= WINDOW && member_for == 2 * WINDOW)
#endif

#define SHIFT(history) \
    history[2] = history[1]; history[1] = history[0]; history[0] = 0
#define FORGET(history) \
    history[0] = 0; history[1] = 0; history[2] = 0

#ifdef BUG_LEND_UNCOUNTED
#define LEND_COUNTS skip
#else
#define LEND_COUNTS own0[0]++
#endif

active proctype Fleet() {
    do
    :: atomic { SUM(own0) < SHARE0 ->
        own0[0]++; used[0]++;
        assert(SUM(used) <= RESERVE) }
    :: atomic { joined && SUM(own1) < SHARE1 ->
        own1[0]++; used[0]++;
        assert(SUM(used) <= RESERVE) }
    :: atomic { !lent && joined && SUM(own0) < SHARE0 ->    /* node 0 lends a retry */
        LEND_COUNTS; lent = true }
    :: atomic { lent -> lent = false; used[0]++;            /* node 1 sends it */
        assert(SUM(used) <= RESERVE) }
    :: lent -> lent = false                    /* the response was lost */
    :: atomic { !lent ->                       /* the next tick */
        SHIFT(used); SHIFT(own0); SHIFT(own1);
        if :: lived0 < YOUNG -> lived0++ :: else fi;
        if :: lived1 < YOUNG -> lived1++ :: else fi;
        if :: member_for < 2 * WINDOW -> member_for++ :: else fi;
        known = joined }
    :: atomic { !joined && lived0 >= WINDOW -> joined = true; lived1 = 0; member_for = 0 }
    :: atomic { joined && !known -> known = true }
    :: atomic { MAY_START(lived0) -> lived0 = 0; FORGET(own0); known = joined }
    :: atomic { joined && MAY_START(lived1) -> lived1 = 0; FORGET(own1) }
    od
}
