@0xd3a9de08c4d9cf39;

using Rust = import "/rust.capnp";
$Rust.parentModule("peer::schema");

# Calls between daemons. The payloads are typed Rust enums encoded by postcard. The caller is known
# from the handshake, so no call carries it.

interface Peer {
  # A message of the replicated log. It is answered at once; its effect comes as a call back.
  consensus @0 (group :UInt64, message :Data);

  # A request that waits for its reply. An empty error means that the reply holds.
  ask @1 (request :Data) -> (reply :Data, error :Text);

  # Shows that the connection is alive.
  ping @2 ();
}
