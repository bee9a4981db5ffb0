//! Small stand-in targets for the `dev` command and the tests.
