/* Resumption of a stream: each token is delivered once, in order, from one generation.
 *
 * An engine sends the events of generation 1; events of another generation may be
 * interleaved.  The connection may close early, repeat an event or skip one.  The node
 * may crash; the caller then resumes on another node with the last event id that it
 * received.  A stream is never resumed on another generation.
 *
 * Seeded bugs: -DBUG_ANY_OFFSET accepts any offset; -DBUG_RESUME_LATE resumes one event
 * after the next offset; -DBUG_ANY_GENERATION accepts events of the other generation.
 */
#define TOKENS 4
#define CUTS 3

chan line = [2] of { byte, byte }; /* generation, offset */
byte send_from = 0;
bool reconnect = false;
byte received = 0;                 /* tokens delivered to the caller */
byte expected = 0;                 /* next offset that the node expects */
bool whole = false;

proctype Engine() {
    byte next = 0;
    do
    :: whole -> break
    :: reconnect -> atomic {
        do
        :: nempty(line) -> line ? _, _
        :: empty(line) -> break
        od;
        next = send_from;
        reconnect = false }
    :: !reconnect && !whole && next < TOKENS && nfull(line) ->
        if
        :: line ! 1, next; next++
        :: line ! 1, next           /* repeats an event */
        :: line ! 2, next           /* an event of another generation */
        :: next++                   /* skips an event */
        fi
    :: !reconnect && !whole && next >= TOKENS && empty(line) && expected < TOKENS ->
        /* The connection closes early: the node reconnects. */
        atomic { send_from = expected; reconnect = true }
    od
}

inline connect_again() {
#ifdef BUG_RESUME_LATE
    atomic { send_from = expected + 1; expected = expected + 1; reconnect = true }
#else
    atomic { send_from = expected; reconnect = true }
#endif
}

proctype Node() {
    byte generation;
    byte offset;
    byte cuts = 0;
    do
    :: expected >= TOKENS -> whole = true; break
    :: expected < TOKENS && !reconnect && nempty(line) ->
        line ? generation, offset;
        if
#ifdef BUG_ANY_GENERATION
        :: offset == expected ->
            assert(generation == 1);
#else
        :: generation == 1 && offset == expected ->
#endif
            assert(offset == received);
            received++;
            expected++
#ifdef BUG_ANY_OFFSET
        :: generation == 1 && offset != expected ->
            assert(offset == received);
            received++;
            expected = offset + 1
#else
        :: generation == 1 && offset < expected -> skip   /* discard a repeated event */
        :: generation != 1 || offset > expected -> connect_again()
#endif
        fi
    :: expected < TOKENS && !reconnect && cuts < CUTS ->
        cuts++;
        connect_again()                                    /* the connection is closed */
    :: expected < TOKENS && !reconnect && cuts < CUTS ->
        cuts++;
        expected = received;                               /* another node takes over */
        connect_again()
    od;
    assert(received == TOKENS)
}

init {
    atomic {
        run Engine();
        run Node()
    }
}
