//! Log lines for people, or one JSON object a line.
