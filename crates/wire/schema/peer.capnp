@0xd1a6f0c5b7e39a42;
# Messages between rattanturn daemons. Fields are only ever added, with the next number, so that
# two versions run side by side while VMs are replaced.

interface Peer {
  # Runs calls at targets that the receiver holds. Each outcome goes to `sink` as it comes.
  run @0 (calls :List(Call), sink :Sink) -> ();
  # Cancels calls by their numbers; outcomes of cancelled calls are not delivered.
  cancel @1 (origin :UInt64, numbers :List(UInt64)) -> ();
  # Runs a non-idempotent request at most once; the receiver holds its journal.
  runOnce @2 (request :OnceRequest) -> (result :OnceResult);
  # Returns a shared object if the receiver's version is newer than `known`.
  # It comes as a patch by lines if the receiver still has the version `known`.
  object @3 (key :Text, known :UInt64)
      -> (version :UInt64, body :Data, base :UInt64, digest :UInt64);
  # Hands a journal to the daemon that is about to hold its unit.
  handOver @4 (journal :Journal) -> ();
}

interface Sink {
  deliver @0 (results :List(Result)) -> ();
}

struct Call {
  origin @0 :UInt64;      # daemon that asks
  number @1 :UInt64;      # number of the call at that daemon
  target @2 :Text;        # IP:PORT
  service @3 :Text;       # POOL/NAME
  snapshot @4 :UInt64;    # 0: any
  remaining @5 :UInt64;   # microseconds until the answer is worthless
  priority @6 :UInt8;     # 0 low, 1 normal, 2 high
  body @7 :Data;
  idempotent @8 :Bool = true;
  request @9 :Text;       # request id of a call that is not idempotent
}

struct Result {
  number @0 :UInt64;
  outcome @1 :Outcome;
  snapshot @2 :UInt64;
  body @3 :Data;
  versions @4 :List(UInt64);  # index versions that the target serves
  wait @5 :UInt64;            # microseconds a new call to the target would take
  queued @6 :UInt64;          # microseconds this call waited
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
  issued @1 :UInt64;      # milliseconds since 1970, by the caller's clock
  pool @2 :Text;
  remaining @3 :UInt64;   # microseconds
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
  notKeeper @3;  # not run: the receiver does not hold the request's journal
}

struct Journal {
  unit @0 :UInt64;
  holder @1 :UInt64;      # tenure that hands the journal over
  number @2 :UInt64;
  since @3 :UInt64;       # milliseconds since 1970
  entries @4 :List(JournalEntry);
}

struct JournalEntry {
  id @0 :Text;
  issued @1 :UInt64;
  digest @2 :UInt64;
  result @3 :OnceResult;
}

# Datagrams: membership and leases.

struct Datagram {
  union {
    gossip @0 :Gossip;
    requests @1 :LeaseRequests;
    votes @2 :LeaseVotes;
  }
}

struct Gossip {
  from @0 :UInt64;
  digest @1 :UInt64;
  tables @2 :UInt64;
  panels @3 :UInt64;
  number @4 :UInt32;
  union {
    probe @5 :Void;
    indirect @6 :UInt64;
    ack @7 :Void;
    sync @8 :Bool;
  }
  facts @9 :List(Fact);
}

struct Fact {
  id @0 :UInt64;
  state @1 :UInt8;        # 0 alive, 1 leaving, 2 suspect, 3 dead
  incarnation @2 :UInt32;
  name @3 :Text;
  centre @4 :Text;
  gossip @5 :Text;        # IP:PORT
  http @6 :UInt16;
  admin @7 :UInt16;
  rpc @8 :UInt16;
  threads @9 :UInt16;
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
  tenure @4 :UInt64;      # number of the tenure at the asking daemon
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
  previousHolder @4 :UInt64;  # tenure before the asking one; number 0: not known
  previousNumber @5 :UInt64;
}
