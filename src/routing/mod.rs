//! Decisions on every waiting request: admission, queues, target choice, limits and retries.
