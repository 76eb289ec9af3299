@0xd3b1f8a7c5e29641;
# How two hosts of one installation speak. A link begins with the Gate: each side proves that it
# holds the installation's key before anything else is answered. Bodies of frames are postcard
# encodings of pulley_core's messages: counts are many and small, and postcard's variable-length
# integers keep them at about a third of the size of Cap'n Proto's eight-byte words.

interface Gate {
  # The capability that a connecting host meets first.
  challenge @0 () -> (nonce :Data);
  # A proof is HMAC-SHA256 over both nonces and both names.
  enter @1 (hello :Hello) -> (accepted :Accepted);
}

struct Hello {
  cluster @0 :Text;
  host @1 :Text;
  process @2 :UInt64;   # tells one start of a host from the next
  nonce @3 :Data;
  proof @4 :Data;
}

struct Accepted {
  host @0 :Text;
  process @1 :UInt64;
  proof @2 :Data;
  session @3 :Session;
}

interface Session {
  # Answered at once; a link that leaves two of them unanswered is replaced.
  heartbeat @0 (sequence :UInt64) -> (sequence :UInt64);
  # One-way messages, in order, each of one class.
  deliver @1 (frames :List(Frame)) -> ();
}

struct Frame {
  class @0 :FrameClass;
  body @1 :Data;
}

enum FrameClass {
  membership @0;
  replication @1;
  counts @2;
  configuration @3;
  ledger @4;
  operator @5;
  upstreams @6;
  limits @7;
  quotas @8;
  quarantine @9;
}
