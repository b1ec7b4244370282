/* Hand-over and resume of a stream: each token once, in order, one generation.
 *
 * An engine sends the events of generation 1; another generation's events may
 * cross.  The connection may lose the rest, repeat an event or skip one.  The
 * node may die; the caller then resumes on another node with the last id it
 * received.  Nothing is ever resumed on another generation.
 *
 * Seeded bugs: -DBUG_ANY_OFFSET accepts whatever offset comes;
 * -DBUG_RESUME_LATE resumes behind the next offset; -DBUG_ANY_GENERATION
 * accepts events of the other generation.
 */
#define TOKENS 4
#define CUTS 3

chan line = [2] of { byte, byte }; /* generation, offset */
byte send_from = 0;
bool reconnect = false;
byte received = 0;                 /* tokens that the caller has */
byte expected = 0;                 /* next offset at the node */
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
        :: line ! 1, next           /* sent twice */
        :: line ! 2, next           /* another generation's */
        :: next++                   /* one is left out */
        fi
    :: !reconnect && !whole && next >= TOKENS && empty(line) && expected < TOKENS ->
        /* The connection ends early: the node connects again. */
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
        :: generation == 1 && offset < expected -> skip   /* a repeat is dropped */
        :: generation != 1 || offset > expected -> connect_again()
#endif
        fi
    :: expected < TOKENS && !reconnect && cuts < CUTS ->
        cuts++;
        connect_again()                                    /* the line is cut */
    :: expected < TOKENS && !reconnect && cuts < CUTS ->
        cuts++;
        expected = received;                               /* another node goes on */
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
