/* Failover of a stream from a failed engine to an engine that holds a copy.
 *
 * Engine 0 generates the events.  It may repeat or skip one, stall, or crash, which closes
 * its connection and may lose events in transit.  The node then sends the run to engine 1
 * with the id of the copy and the last event delivered to the caller.  A copy can be used
 * once, and the response to that request may be lost.  The node stays with a stalled
 * engine only if the copy rejects the run, and leaves it otherwise once the time in which
 * both may have the run is over, answered or not.  A run of which the caller has no event
 * is not sent to the copy, as an engine could not tell it from a new one.
 *
 * The caller receives each event once and in order; a response is complete only after
 * the last event; no event of an abandoned engine is forwarded.
 *
 * Seeded bugs: -DBUG_ANY_EVENT forwards any event; -DBUG_CUT_IS_END treats a closed
 * connection as the end; -DBUG_KEEP_OLD continues to read from an abandoned engine;
 * -DBUG_AWAIT_COPY leaves a stalled engine only when the copy has answered;
 * -DBUG_RESUME_EMPTY sends the copy a run without events.
 */
#define EVENTS 3
#define END EVENTS          /* the end marker follows the last event */
#define SLIPS 1

chan from0 = [2] of { byte };
chan from1 = [2] of { byte };
bool connected0 = true;
bool connected1 = false;
bool cut0 = false;
bool cut1 = false;
byte starts1 = 0;           /* first event that engine 1 generates */
bool copy = true;           /* engine 1 holds an unused copy */
byte passed = 0;            /* events delivered to the caller */
byte engine = 0;            /* engine that the node reads from */
bool whole = false;
bool broken = false;

proctype Engine0() {
    byte next = 0;
    byte slips = 0;
    do
    :: !connected0 || cut0 -> break
    :: connected0 && !cut0 && next <= END && nfull(from0) -> from0 ! next; next++
    :: connected0 && !cut0 && next < END && nfull(from0) && slips < SLIPS ->
        slips++; from0 ! next                       /* repeats an event */
    :: connected0 && !cut0 && next < END && slips < SLIPS ->
        slips++; next++                             /* skips an event */
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
        :: else -> go_on()                          /* a premature end is a failure */
        fi
#endif
    :: event < END && event == passed -> passed++
    :: event < END && event != passed ->
#ifdef BUG_ANY_EVENT
        assert(event == passed)
#else
        if
        :: event < passed -> skip                   /* a repeated event is discarded */
        :: event > passed -> go_on()                /* a gap */
        fi
#endif
    fi
}

#ifdef BUG_RESUME_EMPTY
#define RESUMABLE copy
#else
#define RESUMABLE (copy && passed > 0)
#endif

inline go_on() {
    if
    :: engine == 0 && RESUMABLE ->
        copy = false;
        connected0 = false;
        if
        :: take_over()
        :: broken = true                            /* the response is lost */
        fi
    :: else -> broken = true                        /* the caller gets an error */
    fi
}

inline take_over() {
    assert(passed > 0);
    starts1 = passed;
    connected1 = true;
    engine = 1
}

inline leave_unanswered() {
#ifndef BUG_AWAIT_COPY
    connected0 = false;
#endif
    assert(!connected0);                            /* engine 1 may have the run */
    if
    :: take_over()
    :: broken = true
    fi
}

proctype Node() {
    byte event;
    do
    :: whole || broken -> break
    :: !whole && !broken && engine == 0 && nempty(from0) ->
        from0 ? event; pass(event)
    :: !whole && !broken && engine == 0 && cut0 ->  /* events in transit are lost */
#ifdef BUG_CUT_IS_END
        whole = true
#else
        go_on()
#endif
    :: !whole && !broken && engine == 0 && RESUMABLE ->     /* the engine stalls */
        copy = false;
        if
        :: skip                                     /* the copy rejects the run */
        :: connected0 = false; take_over()          /* it answers in time */
        :: leave_unanswered()
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
