//! Daemons and targets: who is there, in which life, and what each router knows of them.

pub mod table;
