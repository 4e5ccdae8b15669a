/*
 * A request that a node passes on: the first node leases attempts to one other
 * node and then to a second one. Each of these has servers run the request as
 * often as it may, at any time, also after the first node has given it up; its
 * answer may come, come late or never. A node of an earlier build uses what the
 * route allows and reports nothing. spec/README.md maps the steps to functions.
 *
 * Broken variants in which the model checker must find a violation:
 *   -DNOLEASE  nodes use what the route allows, whatever is leased to them
 *   -DRETURN   a lease whose answer is lost counts as unused
 *   -DANYNODE  a node of an earlier build gets the request after attempts were used
 *   -DTRUST    nodes of earlier builds are taken to keep to leases
 *   -DPROMISE  a refusal is passed on as "not run" after another answer was lost
 *   -DCOUNT    each node counts the request for the budget of repeats
 */
#ifndef LIMIT
#define LIMIT 2
#endif
#define NODES 2

byte may[NODES];             /* attempts that the node may use; 0 until it has the request */
byte uses[NODES];            /* attempts that it has used */
bool closed[NODES];          /* the node has answered: it uses no more */
bool former[NODES];          /* the node is of an earlier build */
bool repeat[NODES];          /* the request was counted before */
byte ran;                    /* servers that have run the request */
byte counts;                 /* nodes that have counted it */
bool promised;               /* the caller was told that it has not run and never will */

proctype Node(byte n) {
endwait:
	may[n] > 0;
	atomic {
		if
		:: !repeat[n] || former[n] -> counts++
		:: else
		fi
	}
	do
	:: atomic { !closed[n] && uses[n] < may[n] ->
		uses[n]++;
		ran++;
		assert(ran <= LIMIT);
		assert(!promised)
	   }
	:: closed[n] = true; break
	od
}

proctype First() {
	byte n = 0, used = 0, leased, most;
	bool mayhaverun = false, counted = false, keeps, last;

	do
	:: n < NODES ->
		last = (n == NODES - 1);
		keeps = false;
		if
		:: !former[n] -> if :: keeps = true :: true fi    /* known to keep to leases, or not */
		:: else
		fi;
#ifdef TRUST
		keeps = true;
#endif
		/* lease */
		leased = 0;
		if
#ifdef ANYNODE
		:: used < LIMIT -> leased = LIMIT - used
#else
		:: used < LIMIT && (keeps || used == 0) -> leased = LIMIT - used
#endif
		:: else
		fi;
		if
		:: keeps && !last && leased > 1 -> leased--
		:: else
		fi;
		if
		:: keeps -> most = leased
		:: else -> most = LIMIT
		fi;
		if
		:: leased == 0 -> break
		:: else
		fi;
		if
		:: n++                                         /* the node did not receive it */
		:: atomic {
			repeat[n] = counted;
#ifdef COUNT
			repeat[n] = false;
#endif
			may[n] = leased;
#ifdef NOLEASE
			may[n] = LIMIT;
#endif
			if
			:: former[n] -> may[n] = LIMIT
			:: else
			fi
		   };
			if
			:: atomic { closed[n] ->                   /* its answer comes */
				if
				:: uses[n] == 0 ->                 /* a refusal */
#ifdef PROMISE
					promised = true; assert(ran == 0);
#else
					if
					:: !mayhaverun -> promised = true; assert(ran == 0)
					:: else
					fi;
#endif
					goto end
				:: else -> goto end
				fi
			   }
			:: true ->                                 /* the answer is lost or late */
#ifndef RETURN
				used = used + most;
#endif
				mayhaverun = true;
				counted = true;
				n++
			fi
		fi
	:: else -> break
	od;
end:	skip
}

init {
	atomic {
		if :: former[0] = true :: true fi;
		if :: former[1] = true :: true fi;
		run First();
		run Node(0);
		run Node(1)
	}
}

/* Nodes of earlier builds count a request once more; the others never do. */
#define oldcounts (former[0] || former[1])
active proctype Counted() {
	do
	:: atomic { counts > 1 -> assert(oldcounts); break }
	:: break
	od
}
