/* Permits for an upstream with a rate limit: all nodes together never send more than
 * BOUND requests in any WINDOW ticks.  Counts are in fifths of the limit for a window.
 *
 * Nodes 0 and 1 grant permits: the coordinator grants up to WHOLE, the standby up to
 * PART, and so does a node that has been the coordinator for less than LEARN ticks.
 * Isolated nodes, which reach neither, share ALONE.  A change of the membership may make
 * the other node the coordinator; each node learns of the change within KNOWN ticks, and
 * both may be asked for permits at any time.  A node may crash and restart without
 * state, at most once in a window, and not during a change of the membership.
 *
 * Seeded bugs: -DBUG_NEVER_YOUNG lets a new coordinator grant WHOLE at once;
 * -DBUG_NO_PART lets the standby grant WHOLE; -DBUG_ALONE_WHOLE lets isolated nodes
 * send WHOLE.
 */
#define WINDOW 2
#define KNOWN 1
#define LEARN (WINDOW + KNOWN)
#define WHOLE 10
#define PART 2
#define ALONE 1
#define BOUND (WHOLE + 2 * PART + ALONE)

byte sent[WINDOW];        /* requests in each of the last ticks */
byte granted0[WINDOW];    /* permits that each node granted */
byte granted1[WINDOW];
byte alone[WINDOW];
byte first = 0;
byte seen0 = 0;           /* coordinator according to each node */
byte seen1 = 0;
byte since0 = LEARN;      /* ticks since each node considers itself the coordinator */
byte since1 = 0;
byte changed_ago = 2 * LEARN;
byte killed_ago = LEARN;

#define SUM(a) (a[0] + a[1])
#define SHIFT(a) a[1] = a[0]; a[0] = 0
#define OLDER(a, most) if :: a < most -> a++ :: else fi
#define SEND(a) a[0]++; sent[0]++; assert(SUM(sent) <= BOUND)
#ifdef BUG_NEVER_YOUNG
#define SETTLED(since) true
#else
#define SETTLED(since) (since == LEARN)
#endif
#ifdef BUG_NO_PART
#define DEPUTYS WHOLE
#else
#define DEPUTYS PART
#endif
#ifdef BUG_ALONE_WHOLE
#define ALONES WHOLE
#else
#define ALONES ALONE
#endif
#define MAY(seen, own, since) ((seen == own && SETTLED(since)) -> WHOLE : DEPUTYS)
#define CALM (changed_ago == 2 * LEARN && killed_ago == LEARN)

active proctype Fleet() {
    do
    :: atomic { SUM(granted0) < MAY(seen0, 0, since0) -> SEND(granted0) }
    :: atomic { SUM(granted1) < MAY(seen1, 1, since1) -> SEND(granted1) }
    :: atomic { SUM(alone) < ALONES -> SEND(alone) }
    :: atomic { seen0 != first -> seen0 = first; since0 = 0 }
    :: atomic { seen1 != first -> seen1 = first; since1 = 0 }
    :: atomic { (changed_ago < KNOWN || (seen0 == first && seen1 == first)) ->
        SHIFT(sent); SHIFT(granted0); SHIFT(granted1); SHIFT(alone);
        OLDER(since0, LEARN); OLDER(since1, LEARN);
        OLDER(changed_ago, 2 * LEARN); OLDER(killed_ago, LEARN) }
    :: atomic { CALM -> first = 1 - first; changed_ago = 0 }
    :: atomic { CALM -> killed_ago = 0; granted0[0] = 0; granted0[1] = 0; since0 = 0 }
    :: atomic { CALM -> killed_ago = 0; granted1[0] = 0; granted1[1] = 0; since1 = 0 }
    od
}
