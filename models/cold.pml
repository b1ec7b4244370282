/* What all nodes together send an upstream while it is cold: never more than BOUND
 * requests in any WINDOW ticks, without a message between the nodes.
 *
 * Half of the aim is handed out by the owner of the pool, which counts what it places;
 * the rest is shared by the nodes that know each other.  Node 0 is the owner.  While the
 * two do not know each other (a cut, a fleet that doubles) each takes itself for the
 * owner and for the only node.  A node may be killed and started again at any moment,
 * which loses its counts, but once in a window, and not within one of a split.  So the
 * aim is half of the bound.
 *
 * Seeded bugs: -DBUG_WHOLE_BOUND aims at the bound itself; -DBUG_NO_SHARE lets each node
 * send what all share; -DBUG_UNCOUNTED has the owner place without counting.
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

byte sent[WINDOW];         /* arrivals of both nodes in each of the last ticks */
byte own0[WINDOW];         /* what each node counts of its own sends */
byte own1[WINDOW];
byte placed0[WINDOW];      /* what each counts as the owner */
byte placed1[WINDOW];
bool split = false;
byte split_ago = WINDOW;   /* ticks since a split began or ended, at most WINDOW */
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
