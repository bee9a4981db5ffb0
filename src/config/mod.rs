//! Fleet defaults, exceptions with a written reason, and their resolution for one request.
