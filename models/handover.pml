/* Hand-over of a stream from the engine that breaks to one that holds a copy.
 *
 * Engine 0 makes the events; it may repeat or skip one, fall silent, or crash, which
 * cuts its connection and may lose what was on the way.  The node then sends the run
 * to engine 1 with the copy's name and the last event that the caller has.  A copy
 * serves once, and the answer to that send may be lost.  A silent engine is left only
 * once the copy has taken over.
 *
 * The caller gets each event once and in order; an answer is whole only after the
 * last; nothing of an engine that was left is passed on.
 *
 * Seeded bugs: -DBUG_ANY_EVENT passes on whatever comes; -DBUG_CUT_IS_END takes a cut
 * for the end; -DBUG_KEEP_OLD reads on from an engine that was left.
 */
#define EVENTS 3
#define END EVENTS          /* the mark of the end follows the last event */
#define SLIPS 1

chan from0 = [2] of { byte };
chan from1 = [2] of { byte };
bool connected0 = true;
bool connected1 = false;
bool cut0 = false;
bool cut1 = false;
byte starts1 = 0;           /* first event that engine 1 is to make */
bool copy = true;           /* engine 1 holds a copy that was not used */
byte passed = 0;            /* events that the caller has */
byte engine = 0;            /* whom the node reads */
bool whole = false;
bool broken = false;

proctype Engine0() {
    byte next = 0;
    byte slips = 0;
    do
    :: !connected0 || cut0 -> break
    :: connected0 && !cut0 && next <= END && nfull(from0) -> from0 ! next; next++
    :: connected0 && !cut0 && next < END && nfull(from0) && slips < SLIPS ->
        slips++; from0 ! next                       /* twice */
    :: connected0 && !cut0 && next < END && slips < SLIPS ->
        slips++; next++                             /* one is left out */
    :: connected0 && !cut0 -> cut0 = true           /* a crash */
    :: next > END -> break
    od
}

proctype Engine1() {
    byte next;
    connected1 || whole || broken;
    next = starts1;
    do
    :: whole || broken || cut1 -> break
    :: !whole && !broken && next <= END && nfull(from1) -> from1 ! next; next++
    :: !whole && !broken && !cut1 -> cut1 = true
    :: next > END -> break
    od
}

inline pass(event) {
    if
    :: event == END ->
#ifdef BUG_ANY_EVENT
        whole = true
#else
        if
        :: passed == EVENTS -> whole = true
        :: else -> go_on()                          /* an end too soon is a cut */
        fi
#endif
    :: event < END && event == passed -> passed++
    :: event < END && event != passed ->
#ifdef BUG_ANY_EVENT
        assert(event == passed)
#else
        if
        :: event < passed -> skip                   /* a repeat is dropped */
        :: event > passed -> go_on()                /* a gap */
        fi
#endif
    fi
}

inline go_on() {
    if
    :: engine == 0 && copy ->
        copy = false;
        connected0 = false;
        if
        :: take_over()
        :: broken = true                            /* the answer is lost */
        fi
    :: else -> broken = true                        /* the caller sees a cut */
    fi
}

inline take_over() {
    starts1 = passed;
    connected1 = true;
    engine = 1
}

proctype Node() {
    byte event;
    do
    :: whole || broken -> break
    :: !whole && !broken && engine == 0 && nempty(from0) ->
        from0 ? event; pass(event)
    :: !whole && !broken && engine == 0 && cut0 ->  /* what was on the way is lost */
#ifdef BUG_CUT_IS_END
        whole = true
#else
        go_on()
#endif
    :: !whole && !broken && engine == 0 && copy ->  /* it is silent */
        copy = false;
        if
        :: take_over(); connected0 = false
        :: skip                                     /* the copy can't: it stays */
        fi
    :: !whole && !broken && engine == 1 && nempty(from1) ->
        from1 ? event; pass(event)
    :: !whole && !broken && engine == 1 && cut1 ->
#ifdef BUG_CUT_IS_END
        whole = true
#else
        go_on()
#endif
#ifdef BUG_KEEP_OLD
    :: !whole && !broken && engine == 1 && nempty(from0) ->
        from0 ? event;
        assert(engine == 0)
#endif
    od;
    assert(!(whole && broken));
    assert(!whole || passed == EVENTS)
}

init {
    atomic {
        run Engine0();
        run Engine1();
        run Node()
    }
}
