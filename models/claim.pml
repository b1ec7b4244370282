/* Claim and dispatch: a request with an idempotency key runs at most once.
 *
 * Three nodes receive requests with the same key.  Each reads the claims document,
 * writes its claim with compare-and-swap and, if the response is lost, reads the
 * document back.  A lost write may take effect late.  At any time the floor may be
 * raised and the document deleted.
 *
 * Seeded bugs: -DBUG_NO_READ_BACK treats a lost response as a granted claim;
 * -DBUG_NO_FLOOR omits the floor from the conditions of the swap.
 */
#define NODES 3

byte holder = 0;       /* claimant in the document; 0 if none */
byte version = 0;      /* revision of the document; 0 if absent */
byte clock = 0;        /* last revision assigned */
bool floor_above = false;
byte runs = 0;
bool ran[NODES + 1];
bool told_not_run[NODES + 1];

/* Writes in transit, which may take effect after their senders gave up. */
bool pending[NODES + 1];
byte pending_version[NODES + 1];

inline swap(me, seen, made) {
    if
    :: (version == seen
#ifndef BUG_NO_FLOOR
        && !floor_above
#endif
       ) ->
        holder = me;
        clock++;
        version = clock;
        made = true
    :: else -> made = false
    fi
}

proctype Node(byte me) {
    byte seen = 0;
    byte found = 0;
    bool made = false;
    byte tries = 0;
    bool granted = false;
    do
    :: tries == 2 -> break
    :: else ->
        tries++;
        atomic { found = holder; seen = version }
        if
        :: found == me -> granted = true; break
        :: found != 0 -> break
        :: else -> skip
        fi;
        if
        :: true -> atomic { swap(me, seen, made) };      /* response received */
            if
            :: made -> granted = true; break
            :: else -> skip
            fi
        :: true -> atomic { swap(me, seen, made) };      /* response lost */
#ifdef BUG_NO_READ_BACK
            granted = true; break
#else
            skip
#endif
        :: atomic { pending[me] = true; pending_version[me] = seen } /* delayed */
        fi
    od;
    if
    :: granted -> atomic { runs++; ran[me] = true }
    :: else -> told_not_run[me] = true
    fi;
    assert(runs <= 1);
    assert(!(ran[me] && told_not_run[me]))
}

/* Applies delayed writes. */
proctype Network() {
    byte i;
    bool made;
    do
    :: pending[1] -> i = 1; atomic { pending[1] = false; swap(i, pending_version[1], made) }
    :: pending[2] -> i = 2; atomic { pending[2] = false; swap(i, pending_version[2], made) }
    :: pending[3] -> i = 3; atomic { pending[3] = false; swap(i, pending_version[3], made) }
    :: timeout -> break
    od
}

/* Raises the floor once and deletes the document, in one transaction. */
proctype Janitor() {
    if
    :: atomic { floor_above = true; holder = 0; version = 0 }
    :: skip
    fi
}

init {
    atomic {
        run Node(1);
        run Node(2);
        run Node(3);
        run Network();
        run Janitor()
    }
}
