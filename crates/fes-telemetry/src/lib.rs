//! Log prefixes, metrics, health endpoints and traces.
