//! The schema of calls between daemons, and the code generated from it.
//!
//! Whoever changes `peer.capnp` generates the code anew with `capnp compile -o rust:. peer.capnp`
//! (Debian's `capnproto` and `libcapnp-dev`, and `capnpc` 0.27 for the Rust plugin and
//! `rust.capnp`), and commits it. The build needs no generator. The `unimplemented!()` in it is the
//! generator's word for what a reference to an interface cannot do, and nothing here asks for it.

#[allow(missing_docs, clippy::all, clippy::semicolon_if_nothing_returned, clippy::unimplemented)]
#[rustfmt::skip]
pub mod peer_capnp;
