//! The `fescuebay` program.

fn main() {}
