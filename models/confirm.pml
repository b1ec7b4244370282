/* Confirm and adopt: each revision has exactly one plan, and no node reverts to an older
 * revision.
 *
 * Two operators confirm plans with the same base revision; responses may be lost.  Two
 * nodes receive documents by polling, by pushes that may be delayed, and from each other
 * while the store is unavailable.  A node may be replaced: the new one starts without a
 * document and is not ready until it has one.
 *
 * Seeded bugs: -DBUG_ADOPT_ANY adopts any received revision; -DBUG_NO_READ_BACK reports a
 * conflict if the response of the swap was lost.
 */
#define LAST 3

byte head = 0;                 /* revision in the store */
byte plan_of[LAST + 2];        /* plan id by revision; 0 if none */
chan pushed = [4] of { byte }; /* pushed revisions, received in any order */
byte held[2];
byte ready_since[2];           /* revision that the node had when it became ready */

proctype Operator(byte me) {
    byte base;
    byte plan;
    byte rounds = 0;
    bool made;
    bool lost;
    do
    :: rounds == 1 || head >= LAST -> break
    :: else ->
        rounds++;
        base = head;
        plan = me * 10 + rounds;
        made = false;
        atomic {
            if
            :: head == base ->
                assert(plan_of[base + 1] == 0);
                head = base + 1;
                plan_of[base + 1] = plan;
                made = true
            :: else -> skip
            fi
        };
        if
        :: lost = true
        :: lost = false
        fi;
        if
        :: lost ->
#ifdef BUG_NO_READ_BACK
            assert(plan_of[base + 1] != plan) /* reported as a conflict */
#else
            if
            :: plan_of[base + 1] == plan -> made = true
            :: else -> made = false
            fi
#endif
        :: else -> skip
        fi;
        if
        :: made && nfull(pushed) -> pushed ! (base + 1)
        :: else -> skip
        fi
    od
}

inline adopt(i, revision) {
#ifdef BUG_ADOPT_ANY
    held[i] = revision
#else
    if
    :: revision > held[i] -> held[i] = revision
    :: else -> skip
    fi
#endif
    ;
    if
    :: ready_since[i] == 0 -> ready_since[i] = held[i]
    :: else -> skip
    fi;
    assert(held[i] >= ready_since[i]);
    ready_since[i] = held[i]
}

proctype Node(byte i) {
    byte revision;
    byte steps = 0;
    do
    :: steps == 4 -> break
    :: steps < 4 ->
        steps++;
        if
        :: atomic { head > 0 -> adopt(i, head) }            /* poll */
        :: atomic { pushed ?? revision -> adopt(i, revision) } /* push, possibly delayed */
        :: atomic { held[1 - i] > 0 -> adopt(i, held[1 - i]) } /* from the peer */
        :: atomic { held[i] = 0; ready_since[i] = 0 }       /* replaced */
        :: skip
        fi
    od
}

init {
    atomic {
        run Operator(1);
        run Operator(2);
        run Node(0);
        run Node(1)
    }
}
