//! Deadline-aware admission, class estimates, concurrency limit and retry budget.
