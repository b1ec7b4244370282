/* Rate limit of a cold upstream: all nodes together never send more than BOUND requests
 * in any WINDOW ticks, without messages between the nodes.
 *
 * Half of the target AIM is assigned by the pool owner, which counts its placements; the
 * rest is divided among the known nodes.  Node 0 is the owner.  During a split (a network
 * partition, or a fleet that doubles) the two nodes do not know each other, and each acts
 * as the owner and as the only node.  A node may crash and restart, which loses its
 * counts, but at most once in a window, and not within one window of the start or end of
 * a split.  The target is half of the bound to allow for these events.
 *
 * Seeded bugs: -DBUG_WHOLE_BOUND sets the target to the bound itself; -DBUG_NO_SHARE does
 * not divide the quota among the nodes; -DBUG_UNCOUNTED lets the owner place requests
 * without counting them.
 */
#define WINDOW 2
#define BOUND 8
#ifdef BUG_WHOLE_BOUND
#define AIM BOUND
#else
#define AIM (BOUND / 2)
#endif
#define OWNED (AIM / 2)
#define SHARED (AIM - OWNED)

byte sent[WINDOW];         /* requests of both nodes in each of the last ticks */
byte own0[WINDOW];         /* requests that each node sent within its own quota */
byte own1[WINDOW];
byte placed0[WINDOW];      /* placements that each node counted as the owner */
byte placed1[WINDOW];
bool split = false;
byte split_ago = WINDOW;   /* ticks since a split started or ended, at most WINDOW */
byte killed0_ago = WINDOW;
byte killed1_ago = WINDOW;

#define SUM(a) (a[0] + a[1])
#ifdef BUG_NO_SHARE
#define SHARE SHARED
#else
#define SHARE (split -> SHARED : SHARED / 2)
#endif
#ifdef BUG_UNCOUNTED
#define COUNT(a) skip
#else
#define COUNT(a) a[0]++
#endif
#define SHIFT(a) a[1] = a[0]; a[0] = 0
#define FORGET(a) a[0] = 0; a[1] = 0
#define OLDER(a) if :: a < WINDOW -> a++ :: else fi
#define CALM (split_ago == WINDOW && killed0_ago == WINDOW && killed1_ago == WINDOW)

active proctype Fleet() {
    do
    :: atomic { SUM(own0) < SHARE -> own0[0]++; sent[0]++; assert(SUM(sent) <= BOUND) }
    :: atomic { SUM(own1) < SHARE -> own1[0]++; sent[0]++; assert(SUM(sent) <= BOUND) }
    :: atomic { SUM(placed0) < OWNED ->
        COUNT(placed0); sent[0]++; assert(SUM(sent) <= BOUND) }
    :: atomic { split && SUM(placed1) < OWNED ->
        COUNT(placed1); sent[0]++; assert(SUM(sent) <= BOUND) }
    :: atomic { SHIFT(sent); SHIFT(own0); SHIFT(own1); SHIFT(placed0); SHIFT(placed1);
        OLDER(split_ago); OLDER(killed0_ago); OLDER(killed1_ago) }
    :: atomic { !split && CALM -> split = true; split_ago = 0 }
    :: atomic { split && split_ago == WINDOW -> split = false; split_ago = 0 }
    :: atomic { !split && split_ago == WINDOW && killed0_ago == WINDOW ->
        killed0_ago = 0; FORGET(own0); FORGET(placed0) }
    :: atomic { !split && split_ago == WINDOW && killed1_ago == WINDOW ->
        killed1_ago = 0; FORGET(own1); FORGET(placed1) }
    od
}
