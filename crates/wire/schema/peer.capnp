@0xd1a6f0c5b7e39a42;
# Messages between rattanturn daemons. A change only adds fields, each with the next free number, so
# that daemons of two versions can talk to each other while VMs are replaced one by one.
#
# Names on the wire never change, so some differ from the terms in the code: a "journal" is the
# deduplication table of a unit, which records the outcomes of requests that must not run twice; a
# "tenure" is a lease term; "panels" are voter sets; a "fact" is a member record.

interface Peer {
  # Runs calls at targets whose lease the receiver holds. The result of each call is sent to `sink`
  # as soon as it is known.
  run @0 (calls :List(Call), sink :Sink) -> ();
  # Cancels calls of the daemon `origin` by their numbers. Results of cancelled calls are not
  # delivered.
  cancel @1 (origin :UInt64, numbers :List(UInt64)) -> ();
  # Runs a non-idempotent request at most once. The receiver must own the deduplication table that
  # the request belongs to; otherwise the verdict is `notKeeper`.
  runOnce @2 (request :OnceRequest) -> (result :OnceResult);
  # Returns the shared object `key` if the receiver has a version newer than `known`. The body is a
  # line-based patch if the receiver still has the version `known`, otherwise the whole object.
  object @3 (key :Text, known :UInt64)
      -> (version :UInt64, body :Data, base :UInt64, digest :UInt64);
  # Sends the deduplication table of a unit to the daemon that takes over the unit.
  handOver @4 (journal :Journal) -> ();
  # Returns the targets of those buckets whose digests differ from the caller's, with what else
  # readers share. The body is JSON.
  targets @5 (digests :List(UInt64), daemons :UInt64) -> (revision :UInt64, body :Data);
}

interface Sink {
  deliver @0 (results :List(Result)) -> ();
}

struct Call {
  origin @0 :UInt64;      # id of the daemon that makes the call
  number @1 :UInt64;      # number of the call, unique at that daemon
  target @2 :Text;        # IP:PORT
  service @3 :Text;       # POOL/NAME
  snapshot @4 :UInt64;    # 0: any snapshot
  remaining @5 :UInt64;   # microseconds until the deadline
  priority @6 :UInt8;     # 0 low, 1 normal, 2 high
  body @7 :Data;
  idempotent @8 :Bool = true;
  request @9 :Text;       # request id; set only if the call is not idempotent
}

struct Result {
  number @0 :UInt64;
  outcome @1 :Outcome;
  snapshot @2 :UInt64;
  body @3 :Data;
  versions @4 :List(UInt64);  # index versions that the target serves
  wait @5 :UInt64;            # microseconds that a new call to the target is expected to take
  queued @6 :UInt64;          # microseconds that this call waited in the queue
}

enum Outcome {
  done @0;
  wrongSnapshot @1;
  busy @2;
  unreachable @3;
  noHolder @4;
  failed @5;
}

struct OnceRequest {
  id @0 :Text;
  issued @1 :UInt64;      # milliseconds since the Unix epoch, by the caller's clock
  pool @2 :Text;
  remaining @3 :UInt64;   # microseconds until the deadline
  priority @4 :UInt8;
  body @5 :Data;
}

struct OnceResult {
  verdict @0 :Verdict;
  body @1 :Data;
  reason @2 :Text;
}

enum Verdict {
  ran @0;
  notRun @1;
  unknown @2;
  notKeeper @3;  # not run: the receiver does not own the deduplication table of the request
}

struct Journal {
  unit @0 :UInt64;
  holder @1 :UInt64;      # daemon whose lease term ends with the handover
  number @2 :UInt64;      # number of that lease term
  since @3 :UInt64;       # milliseconds since the Unix epoch
  entries @4 :List(JournalEntry);
}

struct JournalEntry {
  id @0 :Text;
  issued @1 :UInt64;
  digest @2 :UInt64;
  result @3 :OnceResult;
}

# Datagrams that carry membership and lease messages.

struct Datagram {
  union {
    gossip @0 :Gossip;
    requests @1 :LeaseRequests;
    votes @2 :LeaseVotes;
  }
}

struct Gossip {
  from @0 :UInt64;        # id of the sender
  digest @1 :UInt64;      # digest of the sender's member list
  tables @2 :UInt64;      # version of the tables that the sender uses
  panels @3 :UInt64;      # version of the voter sets; in the tier, revision of the known targets
  number @4 :UInt32;      # number of the probe that is sent, relayed or answered
  union {
    probe @5 :Void;       # asks for an `ack` with the same number
    indirect @6 :UInt64;  # asks the receiver to probe the daemon with this id
    ack @7 :Void;         # answers a probe; number 0 only announces the sender's versions
    sync @8 :Bool;        # carries a part of the member list; true asks for the receiver's
  }
  facts @9 :List(Fact);   # member records
  targetsDigest @10 :UInt64;  # digest of the known targets in the tier; 0: not told
}

struct Fact {
  id @0 :UInt64;
  state @1 :UInt8;        # 0 alive, 1 leaving, 2 suspect, 3 dead
  incarnation @2 :UInt32;  # raised by the member to refute a report that it is suspect or dead
  name @3 :Text;
  centre @4 :Text;
  gossip @5 :Text;        # IP:PORT
  http @6 :UInt16;
  admin @7 :UInt16;
  rpc @8 :UInt16;
  threads @9 :UInt16;     # number of traffic threads; thread i listens for RPC on port rpc + i
}

struct LeaseRequests {
  from @0 :UInt64;
  list @1 :List(LeaseRequest);
}

struct LeaseRequest {
  unit @0 :UInt64;
  epoch @1 :UInt64;
  round @2 :UInt64;
  release @3 :Bool;
  tenure @4 :UInt64;      # number of the requesting daemon's lease term
}

struct LeaseVotes {
  from @0 :UInt64;
  list @1 :List(LeaseVote);
}

struct LeaseVote {
  unit @0 :UInt64;
  epoch @1 :UInt64;
  round @2 :UInt64;
  granted @3 :Bool;
  previousHolder @4 :UInt64;  # last other lease term that was granted; number 0: none known
  previousNumber @5 :UInt64;
}
