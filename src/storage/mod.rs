//! The data folder: what is written there and what counts as synced.
