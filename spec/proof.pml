/*
 * Currency proofs: a leader, a leader that it deposes, a replica that asks either
 * of them, a host that borrows from the replica or from a leader, and one table
 * that removes a key. A partition is that messages are lost, which here are steps
 * that do not happen, and that the former leader has no quorum any more. Answers
 * take any time; a suspended process is one that takes no step while time passes.
 * spec/README.md maps the steps to functions.
 *
 * Broken variants in which the model checker must find a violation:
 *   -DRECEIPT   a proof is dated at the arrival of the answer
 *   -DNOQUORUM  a deposed leader confirms without a quorum
 *   -DNOAGE     the age is not added when a proof is lent
 *   -DNOTABLE   a proof counts for an older table than it is about
 *   -DSTOPPED   the host's clock stops during a suspension
 *   -DSWAP      a proof counts for a request that looked up the former table
 *   -DKEPT      a host that starts takes its copy of the table for the newest
 */
#define START 1
#define LIFE  2
#define END   4

#define OLD   0              /* the former leader */
#define NEW   1              /* the one that deposes it */
#define REPL  2              /* the replica */
#define HOST  3              /* the host */

byte now = START;
byte committed = 1;          /* the newest table; 2 removes the key */
byte acked;                  /* when table 2 was acknowledged */
bool deposed;                /* NEW leads; OLD has no quorum */
byte applied = 1;            /* the newest table in the log of OLD */
byte lost;                   /* by how much the host's clock is behind */

bool known[4];               /* stated: whether, about which table, since when */
byte version[4];
byte date[4];
bool held;                   /* the host's proof: a statement that its table had reached */
byte proven;
byte table = 1;              /* the host's table */

#define clock(p) (now - (p == HOST -> lost : 0))

/* count: a statement about a table that the host has is its proof. */
inline count() {
	if
#ifdef NOTABLE
	:: known[HOST] ->
#else
	:: known[HOST] && version[HOST] <= table ->
#endif
		if
		:: !held || date[HOST] > proven -> held = true; proven = date[HOST]
		:: else
		fi
	:: else
	fi
}

/* state: the statement with the latest date is kept. */
inline state(p, v, d) {
	if
	:: !known[p] || d > date[p] -> known[p] = true; version[p] = v; date[p] = d
	:: else
	fi
}

/* forget: what has expired counts no more, and is dropped to keep the number of states small. */
inline forget(p) {
	if
	:: known[p] && clock(p) >= date[p] + LIFE -> known[p] = false; version[p] = 0; date[p] = 0
	:: else
	fi
}

proctype Clock() {
	do
	:: now < END ->
		atomic {
			now++;
#ifdef STOPPED
			if
			:: lost < now - START -> lost++
			:: true
			fi;
#endif
			forget(OLD); forget(NEW); forget(REPL); forget(HOST);
			if
			:: held && clock(HOST) >= proven + LIFE -> held = false; proven = 0
			:: else
			fi
		}
	:: else -> break
	od
}

proctype Group() {
	if
	:: deposed = true                  /* a partition: NEW is elected with the log of OLD */
	:: true
	fi;
	atomic {
		committed = 2;
		acked = now;
		if
		:: !deposed -> applied = 2
		:: else
		fi
	}
	deposed = true
}

/* A leader asks the others whether it still leads, and reads the version when a quorum has answered. */
proctype Leader() {
	byte begun, p;
	do
	:: atomic {
		begun = now;
		if
		:: deposed -> p = NEW
#ifdef NOQUORUM
		:: true -> p = OLD
#else
		:: !deposed -> p = OLD
#endif
		fi
	   }
		atomic {
			if
			:: p == NEW -> state(NEW, committed, begun)
#ifdef NOQUORUM
			:: p == OLD -> state(OLD, applied, begun)
#else
			:: p == OLD && !deposed -> state(OLD, applied, begun)
#endif
			:: else                    /* no quorum answers */
			fi;
			begun = 0; p = 0
		}
	:: now == END -> break
	od
}

/*
 * The replica and the host ask, and date what they are lent. A question that
 * travels for some time is one that is asked later, which only makes the date
 * earlier; so question and answer leave in one step.
 */
proctype Asker(byte p) {
	byte v, x;
	do
	:: atomic {
		if
		:: known[OLD] -> v = version[OLD]; x = now - date[OLD]
		:: known[NEW] -> v = version[NEW]; x = now - date[NEW]
		:: p == HOST && known[REPL] -> v = version[REPL]; x = now - date[REPL]
		fi;
#ifdef NOAGE
		x = 0;
#endif
#ifndef RECEIPT
		x = (clock(p) > x -> clock(p) - x : 0)
#endif
	   }
		atomic {                           /* it arrives, or is lost */
#ifdef RECEIPT
			x = (clock(p) > x -> clock(p) - x : 0);
#endif
			if
			:: clock(p) < x + LIFE -> state(p, v, x)
			:: true
			fi;
			if
			:: p == HOST -> count()
			:: else
			fi;
			v = 0; x = 0
		}
	:: now == END -> break
	od
}

proctype Host() {
	do
	:: atomic { table < committed -> table = committed; count() }
	:: atomic { known[HOST] -> known[HOST] = false; held = false; version[HOST] = 0; date[HOST] = 0; proven = 0 }   /* a restart */
	:: now == END -> break
	od
}

/* A request with the key, which comes at any time: the host looks up its table, and then its proof. */
proctype Request() {
	byte t;
	byte sent;
	atomic {
		t = table;
#ifdef SWAP
		sent = now
#endif
	}
	atomic {
#ifndef SWAP
		sent = now;
#endif
		if
#ifdef KEPT
		:: t == 1 && !held ->
#else
#ifdef SWAP
		:: t == 1 && held && clock(HOST) < proven + LIFE ->
#else
		:: t == 1 && held && clock(HOST) < proven + LIFE && table == t ->
#endif
#endif
			assert(committed == 1 || sent < acked + LIFE)
		:: else
		fi
	}
}

init {
	atomic {
		run Clock(); run Group(); run Leader();
		run Asker(REPL); run Asker(HOST); run Host(); run Request()
	}
}
