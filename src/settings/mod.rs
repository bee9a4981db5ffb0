//! The settings file of one daemon, read once into typed and checked values.
