//! One daemon: starts the parts, joins them, and stops them.
